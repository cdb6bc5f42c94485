// Package cluster runs an entry process's part in the cluster: the process reports its load to the
// coordinator, follows the coordinator's updates, and is the coordinator itself while it holds the
// lock in the store.
//
// # Usage
//
//	n := cluster.New(self, cores, store, grants, peers, view, replica, loadCollector, limits, rates, statements, crashTracker, reachability, dialer, prober, relays, logger)
//	go n.Run(ctx)
//	defer n.Resign(ctx)
package cluster

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/apex/log"

	"bramleystand.org/entry/internal/crashes"
	"bramleystand.org/entry/internal/demand"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/follow"
	"bramleystand.org/entry/internal/ownership"
	"bramleystand.org/entry/internal/replica"
	"bramleystand.org/entry/internal/report"
	"bramleystand.org/entry/internal/requestlimit"
	"bramleystand.org/entry/internal/statement"
	"bramleystand.org/entry/internal/view"
	"bramleystand.org/platform"
)

const (
	// lockKind and lockName identify the lock in the store.
	lockKind = "bramleystand-locks"
	lockName = "coordinator"
	// reportInterval is the time between two reports. The coordinator must know of a hot key within
	// a second, and the holder of the lock counts as silent after two missing responses.
	reportInterval = 400 * time.Millisecond
	// tickInterval is the time between two checks for work that is due.
	tickInterval = 50 * time.Millisecond
	// minStepInterval is the time between two steps of a coordinator. Each step looks at all ranges, and
	// the results of hundreds of orders a second share one.
	minStepInterval = 10 * time.Millisecond
	// storeTimeout bounds a call to the store that a decision waits for.
	storeTimeout = 900 * time.Millisecond
	// maxJitter bounds the random delay that keeps candidates from taking the lock at the same
	// time.
	maxJitter = 200 * time.Millisecond
	// memberLifetime is how long a process counts as a member after its last report.
	memberLifetime = 2 * time.Second
	// confirmationTimeout is the age of the coordinator's last contact with the store from which
	// other processes read the lock themselves.
	confirmationTimeout = 1500 * time.Millisecond
	// updateInterval is the time between two updates to the processes that follow the coordinator.
	updateInterval = 250 * time.Millisecond
	// updateTimeout is the time without an update after which the first process relies on the store alone.
	updateTimeout = 800 * time.Millisecond
	// maxStoreAge is the age of the store's last response to the coordinator's watches from which
	// other processes watch the store themselves. It covers the wait of a watch, the pause after a
	// change and a slow response of the store. With the time until these processes have read the
	// list, it stays below the 2 s in which a change must be in force.
	maxStoreAge = 1100 * time.Millisecond
	// maxPushSize is the size in bytes of the largest compressed object that the coordinator sends
	// to other processes; they read a larger one from the store. A hundred objects of this size
	// take 3 s on a link of 10 Mbit/s.
	maxPushSize = 32 << 10
	// tableReadInterval is the time between two reads of the tables from the store by a process
	// that receives no updates.
	tableReadInterval = 1500 * time.Millisecond
	// followRetryInterval is the time between two attempts to follow the coordinator.
	followRetryInterval = 100 * time.Millisecond
)

// Node is this process as a member of the cluster. It is safe for concurrent use. mu must be locked
// before the locks of view, replica and limits.
type Node struct {
	self          election.Member
	cores         float64
	store         Store
	grants        Grants
	peers         Peers
	view          *view.View
	replica       *replica.Replica
	loadCollector *LoadCollector
	limits        *requestlimit.Table
	// rates has the limits of servers with those of cold ones.
	rates        demand.Limits
	statements   *statement.Table
	crashes      *crashes.Tracker
	crashReports crashReports
	reachability Reachability
	dialer       Dialer
	prober       Prober
	relays       Relays
	logger       log.Interface

	mu              sync.Mutex
	election        *election.Election
	lockCallPending bool
	// readLockBefore is true once the process has read the lock.
	readLockBefore bool
	executor       *executor
	// roleEnded is closed when the process gives up the coordinator's role.
	roleEnded chan struct{}
	// resigning is true while a stopping process gives up the role, and handingOver while one does that is
	// cut off.
	resigning, handingOver bool
	nextHandOver           time.Time
	// handOvers counts how often the process has given up the role because it was cut off.
	handOvers int
	reach     candidacy
	// largestCores is the processor time of the largest VM, zero if it is not known.
	largestCores float64
	// announced is the latest process that has announced itself as the coordinator.
	announced report.StepDown
	era       storeEra
	members   []election.Member
	// membersAt is when the coordinator last confirmed the members; zero if it never did.
	membersAt time.Time
	// cutOffMembers has the names of the members that reach no server.
	cutOffMembers map[string]bool
	// rosterVersion is the version of the roster that the members are from.
	rosterVersion uint64
	membership    membership
	// fallBackAt is when the process reads changes from the store itself, unless the coordinator reports
	// before that it has all changes.
	fallBackAt time.Time
	// reliesOnUpdates is true while the process gets changes from the coordinator and does not
	// watch the store.
	reliesOnUpdates bool

	watchers    map[string]StoreWatcher
	clockOffset clockComparison
	// received holds the latest tables that a coordinator sent. Only the follow loop uses it.
	received map[string]*ownership.Table
	recent   recentTables
	// snapshots is the latest snapshot that another process has asked for.
	snapshots snapshotCache
	// readTables is true once the process has read the tables from the store. Only the follow loop uses it.
	readTables bool
	// followers is the number of processes that follow this one.
	followers int
	encoded   encodedUpdates
	// orders counts the orders to servers by kind, and failed ones separately.
	orders map[string]int
}

// StoreWatcher keeps a copy of the objects of one kind in the store.
type StoreWatcher interface {
	// Relist makes the watcher list the objects again.
	Relist()
	// LastResponse returns when the store last responded.
	LastResponse() time.Time
}

// Dialer opens connections; *net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Reachability tells whether this process reaches the servers.
type Reachability interface {
	CutOff(now time.Time) bool
}

// New returns a node that does nothing until Run. cores is the processor time of the VM in cores.
func New(self election.Member, cores float64, store Store, grants Grants, peers Peers, v *view.View, r *replica.Replica, l *LoadCollector, limits *requestlimit.Table, rates demand.Limits, statements *statement.Table, t *crashes.Tracker, reach Reachability, dialer Dialer, prober Prober, relays Relays, logger log.Interface) *Node {
	now := time.Now()
	e := election.New(self, now, rand.N(maxJitter))
	e.SetTakeoverDelay(takeoverDelay(cores, 0))
	return &Node{
		self: self, cores: cores, store: store, grants: grants, peers: peers, view: v, replica: r, loadCollector: l, limits: limits, rates: rates, statements: statements, crashes: t, reachability: reach, dialer: dialer, prober: prober, relays: relays, logger: logger,
		election: e, roleEnded: make(chan struct{}), membership: membership{reporters: make(map[string]reporter)},
		members: []election.Member{self}, watchers: make(map[string]StoreWatcher), received: make(map[string]*ownership.Table), orders: make(map[string]int),
	}
}

// SetWatcher sets the watcher of a kind, which is told when it has missed a change. It must be called
// before Run.
func (n *Node) SetWatcher(kind string, w StoreWatcher) { n.watchers[kind] = w }

// Orders returns how many orders the process has sent to servers, by kind, and how many of them
// failed.
func (n *Node) Orders() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.orders)
}

// CoordinatorTerm returns the term in which the process is the coordinator, or zero.
func (n *Node) CoordinatorTerm() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	term, holding := n.election.HeldTerm()
	if !holding {
		return 0
	}
	return term
}

// WatchTimeout returns how long a watch on the store may wait. The coordinator uses short watches.
// The other processes don't watch while they receive updates from it.
func (n *Node) WatchTimeout() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, holding := n.election.HeldTerm(); !holding && time.Now().Before(n.fallBackAt) {
		return follow.NoWatch
	}
	return follow.ShortWatchTimeout
}

// Run reports, follows and coordinates until the context ends.
func (n *Node) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { n.reportLoop(ctx) })
	group.Go(func() { n.followLoop(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	detector, err := newSuspensionDetector(time.Now())
	if err != nil {
		n.logger.WithError(err).Error("suspensions of the VM can't be detected")
	}
	for {
		n.detectSuspension(detector)
		n.replica.RemoveMissingServers(time.Now())
		n.checkUpdates(time.Now())
		n.runElection(ctx, &group)
		stepped := time.Now()
		n.coordinate(ctx, &group)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.executorWake():
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(stepped.Add(minStepInterval))):
			}
		}
	}
}

// detectSuspension makes a coordinator check that it still has its role after its VM was suspended.
func (n *Node) detectSuspension(s *suspensionDetector) {
	if s == nil {
		return
	}
	suspended, err := s.Detect(time.Now())
	if err != nil {
		n.logger.WithError(err).Error("suspensions of the VM can't be detected")
		return
	}
	if suspended {
		n.logger.Warn("the VM was suspended")
		n.mu.Lock()
		n.election.InvalidateRole(time.Now())
		n.mu.Unlock()
	}
}

// executorWake returns the channel that signals new results of the executor, or nil.
func (n *Node) executorWake() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.executor == nil {
		return nil
	}
	return n.executor.wake
}

// runElection starts the read or write of the lock that the election asks for.
func (n *Node) runElection(ctx context.Context, group *sync.WaitGroup) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.era.observe(time.Now(), n.store.Era())
	if n.lockCallPending {
		return
	}
	now := time.Now()
	if n.reach.cutOff && now.Sub(n.reach.checked) >= reachInterval {
		n.checkReach(ctx, group, now)
	}
	switch n.election.NextAction(now) {
	case election.ReadLock:
		n.lockCallPending = true
		group.Go(func() { n.readLock(ctx) })
	case election.WriteLock:
		if !n.mayTakeLock(ctx, group, now) {
			return
		}
		n.lockCallPending = true
		group.Go(func() {
			if n.writeLock(ctx) {
				n.announceRole(ctx)
			}
		})
	}
}

func (n *Node) readLock(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	n.mu.Lock()
	get := n.store.Get
	if n.onSmallVM() && !n.readLockBefore {
		get = n.store.GetStale
	}
	n.readLockBefore = true
	n.mu.Unlock()
	o, err := get(bounded, lockKind, lockName)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lockCallPending = false
	now := time.Now()
	if errors.Is(err, platform.ErrNotFound) {
		n.election.ObserveMissingLock(now)
		return
	}
	if err != nil {
		return
	}
	l, err := election.Decode(now, o.Data)
	if err != nil {
		n.logger.WithError(err).Error("lock can't be decoded; it is replaced")
	}
	n.election.ObserveLock(now, l, o.Revision)
}

// writeLock writes the lock and reports whether the process has become the coordinator.
func (n *Node) writeLock(ctx context.Context) bool {
	n.mu.Lock()
	now := time.Now()
	former := n.election.FormerHolder()
	_, held := n.election.HeldTerm()
	confirmed := n.election.LatestWrite().SentAt
	l, revision := n.election.ProposeLock(now)
	n.mu.Unlock()
	stored, err := n.putLock(ctx, l, revision)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lockCallPending = false
	switch {
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNotFound):
		n.election.HandleConflict(time.Now())
	case err != nil:
		if held && time.Since(n.election.LatestWrite().SentAt) > confirmationTimeout {
			n.logger.WithError(err).WithField("term", l.Term).Info("lock not renewed")
		}
	default:
		n.election.HandleStored(now, l, stored.Revision)
		if term, holding := n.election.HeldTerm(); holding && (n.executor == nil || n.executor.term != term) {
			n.membership.expect(time.Now(), n.members, n.largestCores)
			n.relist()
			previous := n.executor
			n.executor = newExecutor(n, l, now)
			n.logger.WithFields(log.Fields{
				"term": term, "former": former.Name, "unstopped": memberNames(l.PastHolders),
				"inheritedMs": n.executor.inheritedUntil.Sub(now).Milliseconds(),
			}).Info("coordinator")
			n.executor.keepRenewing(previous, confirmed)
			return true
		}
	}
	return false
}

func (n *Node) putLock(ctx context.Context, l election.Lock, revision uint64) (platform.Object, error) {
	data, err := election.Encode(time.Now(), l)
	if err != nil {
		return platform.Object{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return n.store.Put(ctx, lockKind, platform.Object{Name: lockName, Revision: revision, Data: data})
}

// coordinate runs a step of the executor while the process is the coordinator.
func (n *Node) coordinate(ctx context.Context, group *sync.WaitGroup) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.executor == nil {
		return
	}
	if term, holding := n.election.HeldTerm(); !holding || term != n.executor.term {
		n.logger.WithField("term", n.executor.term).Warn("no longer coordinator")
		n.executor = nil
		return
	}
	now := time.Now()
	if !now.Before(n.executor.earlierErasUntil) {
		n.election.Settle(n.executor.era)
	}
	n.executor.step(ctx, group, now)
	n.executor.survey(ctx, group, now)
	n.executor.syncCrashes(ctx, group, now)
	n.handOver(ctx, group, now)
}

// reportLoop sends reports to the coordinator until the context ends.
func (n *Node) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.report(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(reportInterval):
		}
	}
}

// report sends what was collected since the last report to the coordinator.
func (n *Node) report(ctx context.Context) {
	n.mu.Lock()
	holder, ok := n.holder()
	_, holding := n.election.HeldTerm()
	version := n.rosterVersion
	n.mu.Unlock()
	if !ok && !holding {
		return
	}
	loads, samples := n.loadCollector.TakeUnreported()
	crashed, crashVersion := n.unreportedCrashes(holder)
	r := report.Report{
		From: n.self, Cores: n.cores, Loads: loads, Samples: samples, RosterVersion: version,
		Crashes: crashed, Limits: n.limits.Observed(time.Now()), Leaving: n.statements.Leaving(time.Now()), Holds: n.statements.Holds(time.Now()), CutOff: n.reachability.CutOff(time.Now()),
	}
	if holding {
		n.Report(time.Now(), r)
		n.crashReports.version = crashVersion
		return
	}
	response, err := n.peers.Report(ctx, holder.Address, r)
	if err != nil || !response.Coordinator {
		return
	}
	n.crashReports.version = crashVersion
	n.mu.Lock()
	defer n.mu.Unlock()
	n.membersAt = time.Now()
	if response.Roster != nil {
		n.setRoster(response.Roster)
	}
	if response.Confirmed {
		n.election.RecordHolderAlive(time.Now(), response.Term)
	}
}

// Report processes a member's report. It implements report.Handler.
func (n *Node) Report(now time.Time, r report.Report) report.Response {
	n.mu.Lock()
	defer n.mu.Unlock()
	term, holding := n.election.HeldTerm()
	if !holding || n.executor == nil {
		return report.Response{}
	}
	n.membership.add(now, r)
	n.executor.addReport(now, r)
	n.crashes.Merge(now, r.Crashes)
	for inst, l := range r.Limits {
		n.limits.Merge(now, inst, l)
	}
	for _, inst := range r.Leaving {
		n.statements.MergeLeaving(now, inst, r.From.Name)
	}
	roster := n.membership.current(now)
	n.membersAt = now
	if roster.Version != n.rosterVersion {
		n.setRoster(roster)
	}
	response := report.Response{Coordinator: true, Term: term, Confirmed: now.Sub(n.election.Confirmed()) < confirmationTimeout}
	if r.RosterVersion != roster.Version {
		response.Roster = roster
	}
	return response
}

// setRoster replaces the members. The node's lock must be held.
func (n *Node) setRoster(r *report.Roster) {
	n.rosterVersion, n.members, n.largestCores = r.Version, r.Members, r.Cores
	n.setCutOffMembers(r.CutOff)
	n.updateTakeoverDelay()
}

// StepDown gives up the role to a coordinator of a higher term. It implements report.Handler.
func (n *Node) StepDown(now time.Time, request report.StepDown) report.StepDownResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	stopped := n.election.StepDown(now, request.Term)
	if stopped && n.executor != nil {
		n.logger.WithField("term", n.executor.term).WithField("successor", request.Term).Warn("no longer coordinator")
		n.executor = nil
	}
	n.noteSuccessor(request)
	return report.StepDownResponse{Incarnation: n.self.Incarnation, Stopped: stopped}
}

// Snapshot returns the objects of the replica as a bundle, which UnpackSnapshot reverses. It implements
// report.Handler.
func (n *Node) Snapshot(now time.Time, _ struct{}) []report.Object {
	objects, err := n.snapshots.get(now, n.replica.AllObjects)
	if err != nil {
		n.logger.WithError(err).Error("snapshot not encoded")
	}
	return objects
}

// Members returns the processes that are known to be alive.
func (n *Node) Members() []election.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members
}

// setCutOffMembers replaces the names of the members that reach no server. The node's lock is held.
func (n *Node) setCutOffMembers(names []string) {
	n.cutOffMembers = make(map[string]bool, len(names))
	for _, name := range names {
		n.cutOffMembers[name] = true
	}
}

// CutOffMembers returns the names of the members that reach no server, as far as the coordinator knows. The
// map must not be changed.
func (n *Node) CutOffMembers() map[string]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutOffMembers
}

// MembersConfirmed reports whether the coordinator has confirmed the members lately.
func (n *Node) MembersConfirmed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.membersAt) < memberLifetime
}

// Resign gives up the coordinator's role, so that another process takes it at once. It returns
// false if the store can't be reached: no other process could take the role then, and the keys
// would have no owner once their grants have expired, so this process continues to renew them.
func (n *Node) Resign(ctx context.Context) bool {
	n.storeCrashes(ctx)
	n.mu.Lock()
	if n.handingOver {
		n.mu.Unlock()
		return false
	}
	l, revision, ok := n.election.Resign()
	_, holding := n.election.HeldTerm()
	n.resigning = ok
	n.mu.Unlock()
	if !ok {
		return !holding
	}
	_, err := n.putLock(ctx, l, revision)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resigning = false
	n.election.FinishResign(err == nil)
	if err != nil {
		n.handleResignError(err)
		return false
	}
	n.endRole()
	return true
}

// handleResignError processes a lock that gives up the role and that the store has not accepted. The node's
// lock must be held.
func (n *Node) handleResignError(err error) {
	if errors.Is(err, platform.ErrConflict) {
		n.election.HandleConflict(time.Now())
		return
	}
	n.logger.WithError(err).Warn("coordinator's role can't be resigned yet")
}
