// Package cluster runs the part of an entry process that it plays for all: it reports its load
// to the coordinator, hears from it that it is alive, and is the coordinator itself while it
// holds the lock in the store.
//
// # Usage
//
//	n := cluster.New(self, cores, store, grants, peers, view, replica, demands, crashes, dialer, logger)
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
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/follow"
	"bramleystand.org/entry/internal/ownership"
	"bramleystand.org/entry/internal/replica"
	"bramleystand.org/entry/internal/report"
	"bramleystand.org/entry/internal/view"
	"bramleystand.org/platform"
)

const (
	// kindLocks and lockName name the lock in the store.
	kindLocks = "bramleystand-locks"
	lockName  = "coordinator"
	// reportInterval is the time between two reports. A hot key must be known within a second,
	// and the holder of the lock counts as silent after two.
	reportInterval = 400 * time.Millisecond
	// tickInterval is the time between two looks at what is due.
	tickInterval = 50 * time.Millisecond
	// storeTimeout bounds a call to the store that a decision waits for.
	storeTimeout = 900 * time.Millisecond
	// mostJitter spreads candidates for the lock.
	mostJitter = 200 * time.Millisecond
	// memberLifetime is how long a process counts as a member after its last report.
	memberLifetime = 2 * time.Second
	// confirmTime is how old the coordinator's last contact with the store may be before others
	// look at the lock themselves.
	confirmTime = 1500 * time.Millisecond
	// aliveInterval is the time between two updates to the processes that follow the coordinator.
	aliveInterval = 250 * time.Millisecond
	// updateTimeout is the time without an update after which a process relies on the store alone.
	updateTimeout = 800 * time.Millisecond
	// heardTime is how old the store's last answer to the coordinator's watches may be before others
	// watch themselves: an alert watch, the pause after a change and a slow answer of the store.
	// With the time until they have read the list it stays below the 2 s in which a change must
	// be in force.
	heardTime = 1100 * time.Millisecond
	// largestPush is the largest compressed object in bytes that the coordinator sends to the others;
	// they read a larger one from the store. A hundred of them take 3 s on a link of 10 Mbit/s.
	largestPush = 32 << 10
	// tablesInterval is the time between two reads of the tables from the store by a process
	// that hears no coordinator.
	tablesInterval = 1500 * time.Millisecond
	// followPause is the time between two tries to follow the coordinator.
	followPause = 100 * time.Millisecond
)

// Node is the process as a member. It is safe for concurrent use; mu comes before the locks of
// view and replica.
type Node struct {
	self    election.Member
	cores   float64
	store   Store
	grants  Grants
	peers   Peers
	view    *view.View
	replica *replica.Replica
	demands *Demands
	crashes *crashes.Ledger
	dialer  Dialer
	logger  log.Interface

	mu       sync.Mutex
	election *election.Election
	writing  bool
	executor *executor
	members  []election.Member
	reported map[string]reporter
	// lastUpdate is when the coordinator last said that it has all changes; zero if it says that it may not.
	lastUpdate time.Time
	// usesUpdates is true while the process takes changes from the coordinator and does not watch the store.
	usesUpdates bool

	checks map[string]Checker
	clock  clocks
	// received are the tables that the coordinator sent on the present stream; only the loop
	// that follows uses them.
	received map[string]*ownership.Table
	encoded  encodedUpdates
	// orders counts the orders to servers by kind and end.
	orders map[string]int
}

// Checker follows a kind in the store.
type Checker interface {
	// Check reads the list again.
	Check()
	// Heard returns when the store last answered.
	Heard() time.Time
}

// Dialer opens connections; *net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// reporter is a process that has reported.
type reporter struct {
	member election.Member
	cores  float64
	at     time.Time
}

// New returns a node that does nothing until Run; cores is the processor time of the VM in
// cores.
func New(self election.Member, cores float64, store Store, grants Grants, peers Peers, v *view.View, r *replica.Replica, d *Demands, l *crashes.Ledger, dialer Dialer, logger log.Interface) *Node {
	now := time.Now()
	e := election.New(self, now, rand.N(mostJitter))
	e.SetTakeoverDelay(takeoverDelay(cores, 0))
	return &Node{
		self: self, cores: cores, store: store, grants: grants, peers: peers, view: v, replica: r, demands: d, crashes: l, dialer: dialer, logger: logger,
		election: e, reported: make(map[string]reporter),
		members: []election.Member{self}, checks: make(map[string]Checker), received: make(map[string]*ownership.Table), orders: make(map[string]int),
	}
}

// Watch names the follower of a kind, which is told when it has missed a change. It must be
// called before Run.
func (n *Node) Watch(kind string, c Checker) { n.checks[kind] = c }

// Orders returns how many orders the process has sent to servers, by kind and end.
func (n *Node) Orders() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.orders)
}

// Role returns the term in which the process is the coordinator, or zero.
func (n *Node) Role() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	term, holding := n.election.Holding()
	if !holding {
		return 0
	}
	return term
}

// WatchTimeout returns how long a watch on the store may wait: the coordinator looks often, and the
// others get the changes from it while they hear from it.
func (n *Node) WatchTimeout() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, holding := n.election.Holding(); !holding && time.Since(n.lastUpdate) < updateTimeout {
		return follow.Idle
	}
	return follow.ShortWait
}

// Run plays the part until the context ends.
func (n *Node) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { n.reportLoop(ctx) })
	group.Go(func() { n.followLoop(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	suspended, err := newSuspension(time.Now())
	if err != nil {
		n.logger.WithError(err).Error("suspensions are not noticed")
	}
	for {
		n.detectSuspension(suspended)
		n.replica.Tick(time.Now())
		n.checkUpdates(time.Now())
		n.elect(ctx, &group)
		n.coordinate(ctx, &group)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.woken():
		}
	}
}

// detectSuspension makes a coordinator whose VM was suspended find out first whether it still is one.
func (n *Node) detectSuspension(s *suspension) {
	if s == nil {
		return
	}
	slept, err := s.Slept(time.Now())
	if err != nil {
		n.logger.WithError(err).Error("suspensions are not noticed")
		return
	}
	if slept {
		n.logger.Warn("the VM was suspended")
		n.mu.Lock()
		n.election.Invalidate(time.Now())
		n.mu.Unlock()
	}
}

// woken returns the channel of the executor's results, or nil.
func (n *Node) woken() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.executor == nil {
		return nil
	}
	return n.executor.wake
}

// elect does what the election asks for.
func (n *Node) elect(ctx context.Context, group *sync.WaitGroup) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.writing {
		return
	}
	switch n.election.Next(time.Now()) {
	case election.Read:
		n.writing = true
		group.Go(func() { n.readLock(ctx) })
	case election.Write:
		n.writing = true
		group.Go(func() { n.writeLock(ctx) })
	}
}

func (n *Node) readLock(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := n.store.Get(bounded, kindLocks, lockName)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.writing = false
	now := time.Now()
	if errors.Is(err, platform.ErrMissing) {
		n.election.Missing(now)
		return
	}
	if err != nil {
		return
	}
	l, err := election.Decode(o.Data)
	if err != nil {
		n.logger.WithError(err).Error("lock can't be read; it is replaced")
	}
	n.election.Observe(now, l, o.Revision)
}

func (n *Node) writeLock(ctx context.Context) {
	n.mu.Lock()
	now := time.Now()
	former := n.election.Former()
	_, held := n.election.Holding()
	l, revision := n.election.Proposal(now)
	n.mu.Unlock()
	stored, err := n.putLock(ctx, l, revision)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.writing = false
	switch {
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrMissing):
		n.election.Conflict(time.Now())
	case err != nil:
		if held && time.Since(n.election.Confirmed()) > confirmTime {
			n.logger.WithError(err).WithField("term", l.Term).Info("lock not renewed")
		}
	default:
		n.election.Stored(now, l, stored.Revision)
		if !held {
			n.logger.WithFields(log.Fields{"term": l.Term, "former": former.Name}).Info("coordinator")
			n.executor = newExecutor(n, l.Term, now, former)
		}
	}
}

func (n *Node) putLock(ctx context.Context, l election.Lock, revision uint64) (platform.Object, error) {
	data, err := election.Encode(l)
	if err != nil {
		return platform.Object{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return n.store.Put(ctx, kindLocks, platform.Object{Name: lockName, Revision: revision, Data: data})
}

// coordinate lets the executor work while the process is the coordinator.
func (n *Node) coordinate(ctx context.Context, group *sync.WaitGroup) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.executor == nil {
		return
	}
	if term, holding := n.election.Holding(); !holding || term != n.executor.term {
		n.logger.WithField("term", n.executor.term).Warn("no longer coordinator")
		n.executor = nil
		return
	}
	n.executor.step(ctx, group, time.Now(), n.election.Confirmed())
}

// reportLoop sends the load to the coordinator.
func (n *Node) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.report(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(reportInterval):
		}
	}
}

func (n *Node) report(ctx context.Context) {
	n.mu.Lock()
	holder, ok := n.election.Holder()
	_, holding := n.election.Holding()
	n.mu.Unlock()
	if !ok && !holding {
		return
	}
	demands, samples := n.demands.Take()
	r := report.Report{From: n.self, Cores: n.cores, Demands: demands, Samples: samples, Crashes: n.crashes.Take()}
	if holding {
		n.Report(time.Now(), r)
		return
	}
	answer, err := n.peers.Report(ctx, holder.Address, r)
	if err != nil || !answer.Coordinator {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = answer.Members
	n.election.SetTakeoverDelay(takeoverDelay(n.cores, answer.Cores))
	if answer.Confirmed {
		n.election.Hear(time.Now(), answer.Term)
	}
}

// Report implements report.Handler.
func (n *Node) Report(now time.Time, r report.Report) report.Answer {
	n.mu.Lock()
	defer n.mu.Unlock()
	term, holding := n.election.Holding()
	if !holding || n.executor == nil {
		return report.Answer{}
	}
	n.reported[r.From.Name] = reporter{member: r.From, cores: r.Cores, at: now}
	n.executor.take(now, r)
	n.crashes.Note(now, r.Crashes)
	n.members = n.members[:0:0]
	largest := 0.0
	for name, p := range n.reported {
		if now.Sub(p.at) > memberLifetime {
			delete(n.reported, name)
			continue
		}
		n.members = append(n.members, p.member)
		largest = max(largest, p.cores)
	}
	return report.Answer{
		Coordinator: true, Term: term, Members: n.members, Cores: largest,
		Confirmed: now.Sub(n.election.Confirmed()) < confirmTime,
	}
}

// Yield implements report.Handler.
func (n *Node) Yield(now time.Time, y report.Yield) report.Yielded {
	n.mu.Lock()
	defer n.mu.Unlock()
	stopped := n.election.Yield(now, y.Term)
	if stopped && n.executor != nil {
		n.logger.WithField("term", n.executor.term).WithField("successor", y.Term).Warn("no longer coordinator")
		n.executor = nil
	}
	return report.Yielded{Incarnation: n.self.Incarnation, Stopped: stopped}
}

// Snapshot implements report.Handler.
func (n *Node) Snapshot(time.Time, struct{}) []report.Object { return n.replica.Objects() }

// Members returns the processes that are known to be alive.
func (n *Node) Members() []election.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members
}

// Resign gives the coordinator's role back, so that another process takes it at once. It reports
// false if the store can't be told: nobody else could take the role, and the keys would be
// served by nobody once their grants have lapsed, so the process goes on renewing them.
func (n *Node) Resign(ctx context.Context) bool {
	n.mu.Lock()
	l, revision, ok := n.election.Resign()
	_, holding := n.election.Holding()
	n.mu.Unlock()
	if !ok {
		return !holding
	}
	_, err := n.putLock(ctx, l, revision)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.election.Resigned(err == nil)
	switch {
	case err == nil:
		n.executor = nil
	case errors.Is(err, platform.ErrConflict):
		n.election.Conflict(time.Now())
	default:
		n.logger.WithError(err).Warn("coordinator's role not given back yet")
	}
	return err == nil
}
