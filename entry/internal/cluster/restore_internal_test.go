package cluster

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rotisserie/eris"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/common/revision"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/coordinator"
	"bramleystand.org/entry/internal/crashes"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/orderrelay"
	"bramleystand.org/entry/internal/ownership"
	"bramleystand.org/entry/internal/replica"
	"bramleystand.org/entry/internal/report"
	"bramleystand.org/entry/internal/requestlimit"
	"bramleystand.org/entry/internal/statement"
	"bramleystand.org/entry/internal/view"
	"bramleystand.org/platform"
)

var errUnreachable = eris.New("unreachable")

// storeCopy holds the objects of a store by kind and name, with the revision numbers of one era.
type storeCopy struct {
	at      time.Time
	objects map[string]platform.Object
	number  uint64
}

// restorableStore is a store that may come back from an earlier copy, as the client of one process.
type restorableStore struct {
	mu     sync.Mutex
	era    uint64
	now    storeCopy
	copies []storeCopy
	down   bool
	// knownEra is the era of the latest response.
	knownEra uint64
}

func newRestorableStore() *restorableStore {
	first := storeCopy{at: time.Now(), objects: map[string]platform.Object{}, number: 1}
	return &restorableStore{era: revision.FirstEra, now: first, copies: []storeCopy{first}}
}

// Era returns the era of the latest response.
func (s *restorableStore) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.knownEra
}

// restore replaces the objects by those of the latest copy from before the given time.
func (s *restorableStore) restore(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for len(s.copies) > 1 && s.copies[len(s.copies)-1].at.After(before) {
		s.copies = s.copies[:len(s.copies)-1]
	}
	s.now = s.copies[len(s.copies)-1]
}

func (s *restorableStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *restorableStore) withRevision(o platform.Object) platform.Object {
	o.Revision = uint64(revision.New(s.era, o.Revision))
	return o
}

func (s *restorableStore) Get(_ context.Context, kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Object{}, errUnreachable
	}
	s.knownEra = s.era
	o, ok := s.now.objects[kind+"/"+name]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return s.withRevision(o), nil
}

func (s *restorableStore) GetStale(ctx context.Context, kind, name string) (platform.Object, error) {
	return s.Get(ctx, kind, name)
}

func (s *restorableStore) ListStale(ctx context.Context, kind string) ([]platform.Object, uint64, error) {
	return s.List(ctx, kind)
}

func (s *restorableStore) List(_ context.Context, kind string) ([]platform.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, errUnreachable
	}
	s.knownEra = s.era
	var out []platform.Object
	for key, o := range s.now.objects {
		if key == kind+"/"+o.Name {
			out = append(out, s.withRevision(o))
		}
	}
	return out, uint64(revision.New(s.era, s.now.number)), nil
}

func (s *restorableStore) Put(_ context.Context, kind string, o platform.Object) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	condition := revision.Revision(o.Revision)
	if o.Revision != 0 && condition.Era() < s.knownEra {
		return platform.Object{}, platform.ErrConflict
	}
	if s.down {
		return platform.Object{}, errUnreachable
	}
	s.knownEra = s.era
	if s.now.objects[kind+"/"+o.Name].Revision != condition.Number() {
		return platform.Object{}, platform.ErrConflict
	}
	return s.write(kind, o), nil
}

// write replaces an object without a condition. The lock is held.
func (s *restorableStore) write(kind string, o platform.Object) platform.Object {
	s.now = storeCopy{at: time.Now(), objects: maps.Clone(s.now.objects), number: s.now.number + 1}
	o.Revision = s.now.number
	s.now.objects[kind+"/"+o.Name] = o
	s.copies = append(s.copies, s.now)
	return s.withRevision(o)
}

// overwrite replaces an object, as a late write whose condition matched by chance.
func (s *restorableStore) overwrite(kind string, o platform.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, o)
}

// remove removes an object.
func (s *restorableStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = storeCopy{at: time.Now(), objects: maps.Clone(s.now.objects), number: s.now.number + 1}
	delete(s.now.objects, kind+"/"+name)
}

// sentGrant is a grant that a server has received.
type sentGrant struct {
	at   time.Time
	to   netip.AddrPort
	keys keyspace.Range
	hold time.Duration
	// fence is the fence of the grant, and highest is the highest one before it.
	fence, highest fence.Fence
}

// recordedGrants records the grants that servers have received and who holds some sampled keys.
type recordedGrants struct {
	mu     sync.Mutex
	grants []sentGrant
	// heldUntil is when each server loses a key; overlaps describes the keys with two owners.
	heldUntil map[keyspace.Key]map[netip.AddrPort]time.Time
	overlaps  []string
}

func newRecordedGrants() *recordedGrants {
	g := &recordedGrants{heldUntil: make(map[keyspace.Key]map[netip.AddrPort]time.Time)}
	for k := 0; k < keyspace.KeyCount; k += 1021 {
		g.heldUntil[keyspace.Key(k)] = make(map[netip.AddrPort]time.Time)
	}
	return g
}

func (g *recordedGrants) Grant(_ context.Context, recipient platform.Recipient, keys keyspace.Range, f uint64, hold time.Duration, _ string, _ uint64) (uint64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	to := recipient.Address
	sent := sentGrant{at: time.Now(), to: to, keys: keys, hold: hold, fence: fence.Fence(f)}
	for _, earlier := range g.grants {
		sent.highest = max(sent.highest, earlier.fence)
	}
	g.grants = append(g.grants, sent)
	for k, holders := range g.heldUntil {
		if !keys.Contains(k) {
			continue
		}
		for other, until := range holders {
			if other != to && until.After(sent.at) {
				g.overlaps = append(g.overlaps, fmt.Sprintf("key %d granted to %s, %s holds it for %s", k, to, other, until.Sub(sent.at)))
			}
		}
		holders[to] = sent.at.Add(hold)
	}
	return 1, nil
}

func (g *recordedGrants) Release(_ context.Context, recipient platform.Recipient, keys keyspace.Range, _ uint64) (string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for k, holders := range g.heldUntil {
		if keys.Contains(k) {
			delete(holders, recipient.Address)
		}
	}
	return "handover", nil
}

// hasOverlaps returns the keys that had two owners.
func (g *recordedGrants) hasOverlaps() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.overlaps
}

// after returns the grants since a time.
func (g *recordedGrants) after(t time.Time) []sentGrant {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.grants, func(s sentGrant) bool { return !s.at.Before(t) })
	if i < 0 {
		return nil
	}
	return slices.Clone(g.grants[i:])
}

// noPeers is a network in which no other process can be reached.
type noPeers struct{}

func (noPeers) Report(context.Context, netip.AddrPort, report.Report) (report.Response, error) {
	return report.Response{}, errUnreachable
}

func (noPeers) Follow(context.Context, netip.AddrPort, report.FollowRequest, time.Duration, func(report.Update) error) error {
	return errUnreachable
}

func (noPeers) StepDown(context.Context, netip.AddrPort, report.StepDown) (report.StepDownResponse, error) {
	return report.StepDownResponse{}, errUnreachable
}

func (noPeers) Snapshot(context.Context, netip.AddrPort) ([]report.Object, error) {
	return nil, errUnreachable
}

type noDialer struct{}

func (noDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	return nil, errUnreachable
}

// noReach is a network in which neither this process nor others reach any server.
type noReach struct{}

func (noReach) Reached(_ context.Context, servers []netip.AddrPort) []bool {
	return make([]bool, len(servers))
}

func (noReach) Query(context.Context, netip.AddrPort, orderrelay.Query) (orderrelay.Answer, error) {
	return orderrelay.Answer{}, errUnreachable
}

func (noReach) Send(context.Context, netip.AddrPort, orderrelay.Order) (orderrelay.Report, error) {
	return orderrelay.Report{}, orderrelay.ErrNotReached
}

const shardedService = "s"

func backend(i int) ownership.Server {
	return ownership.Server{Instance: registry.Instance{ID: string(rune('a' + i)), Incarnation: 1}, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80).String()}
}

func backendAddress(i int) netip.AddrPort { return netip.MustParseAddrPort(backend(i).Address) }

// newTestNode returns a process that knows some backend servers.
func newTestNode(name string, store Store, grants Grants, servers int) *Node {
	logger := &log.Logger{Handler: discard.New()}
	v := view.New()
	v.SetConfiguration(&traffic.Configuration{Version: 1, Services: map[string]traffic.Service{shardedService: {Sharded: true}}})
	var list []registry.Server
	for i := range servers {
		list = append(list, registry.Server{Instance: backend(i).Instance, Service: shardedService, Address: backendAddress(i), Slots: 4})
	}
	v.SetServers(time.Now(), list)
	self := election.Member{Name: name, Incarnation: time.Now().UnixNano()}
	return New(self, 1, store, grants, noPeers{}, v, replica.New(v, logger), NewLoadCollector(), requestlimit.NewTable(logger), requestlimit.NewTable(logger), statement.NewTable(v, logger), crashes.NewTracker(logger), fullyConnected{}, noDialer{}, noReach{}, noReach{}, logger)
}

// run runs a process and returns a function that ends it.
func run(t *testing.T, n *Node) context.CancelFunc {
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { n.Run(ctx) })
	return func() { cancel(); group.Wait() }
}

// storedTable returns the table in the store.
func storedTable(t *testing.T, s *restorableStore) *ownership.Table {
	o, err := s.Get(t.Context(), replica.KindTables, shardedService)
	must.NoError(t, err)
	table, err := ownership.Decode(shardedService, o.Revision, o.Data)
	must.NoError(t, err)
	return table
}

// Guards against keys that lose their owner, fences that do not rise and a lock and a table that are
// not written again after the store was restored without the coordinator's latest writes.
func TestCoordinatorAfterRestore(t *testing.T) {
	for name, age := range map[string]time.Duration{"lock and table lost": time.Hour, "table lost": 9 * time.Second, "heartbeats lost": 3 * time.Second, "nothing lost": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, grants := newRestorableStore(), newRecordedGrants()
				n := newTestNode("n", store, grants, 1)
				defer run(t, n)()
				time.Sleep(10 * time.Second)
				before := storedTable(t, store)
				must.Eq(t, 1, n.CoordinatorTerm())
				store.setDown(true)
				time.Sleep(2 * time.Second)
				restored := time.Now()
				store.restore(restored.Add(-2*time.Second - age))
				store.setDown(false)
				time.Sleep(6 * time.Second)
				after := storedTable(t, store)
				must.Greater(t, before.Term, after.Term)
				must.Eq(t, after.Term, n.CoordinatorTerm())
				must.Eq(t, before.Assignments, after.Assignments)
				must.True(t, after.NewerThan(before))
				must.False(t, after.IsRestored())
				last := restored
				for _, g := range grants.after(restored) {
					must.Less(t, coordinator.HoldDuration/2, g.at.Sub(last), must.Sprint("time without a grant"))
					must.GreaterEq(t, g.highest, g.fence)
					last = g.at
				}
				must.Greater(t, 5*time.Second, last.Sub(restored), must.Sprint("the last grant"))
			})
		})
	}
}

// moved returns a table in which one server holds all keys.
func moved(term, generation uint64, r revision.Revision, holder int) *ownership.Table {
	return &ownership.Table{Service: shardedService, Term: term, Generation: generation, Era: r.Era(), Revision: uint64(r), Assignments: []ownership.Assignment{{
		Range: keyspace.Range{Last: keyspace.Last}, Holders: []ownership.Server{backend(holder)},
	}}}
}

// storeTable writes a table to the store as another process would.
func storeTable(t *testing.T, s *restorableStore, table *ownership.Table) {
	data, err := ownership.Encode(table)
	must.NoError(t, err)
	s.overwrite(replica.KindTables, platform.Object{Name: shardedService, Data: data})
}

// Guards against two owners after a restore that has undone a move: the successor of the lost
// coordinator grants the keys to the former owner while the present one holds them.
func TestSuccessorAfterRestoreKeepsMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, grants := newRestorableStore(), newRecordedGrants()
		storeTable(t, store, moved(1, 3, revision.New(1, 2), 0))
		store.restore(time.Now())
		n := newTestNode("n", store, grants, 2)
		n.replica.UpdateTable(moved(1, 5, revision.New(1, 40), 1))
		// The lost coordinator has granted the keys just before.
		_, err := grants.Grant(t.Context(), platform.Recipient{ID: backend(1).ID, Address: backendAddress(1)}, keyspace.Range{Last: keyspace.Last}, 5, coordinator.HoldDuration, "", 0)
		must.NoError(t, err)
		started := time.Now().Add(time.Millisecond)
		defer run(t, n)()
		time.Sleep(5 * time.Second)
		sent := grants.after(started)
		must.SliceNotEmpty(t, sent)
		must.Eq(t, backendAddress(1), sent[0].to)
		must.SliceEmpty(t, grants.hasOverlaps())
	})
}

// Guards against two owners when a process that has just started takes over after a restore: the
// store may have lost a table that names other holders.
func TestStartedProcessWaitsAfterRestore(t *testing.T) {
	for name, lost := range map[string]bool{"older table": false, "no table": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, grants := newRestorableStore(), newRecordedGrants()
				if !lost {
					storeTable(t, store, moved(1, 3, revision.New(1, 2), 0))
				}
				store.overwrite(lockKind, platform.Object{Name: lockName, Data: []byte(`{"term":1,"name":"lost","life":1,"era":1,"settled":true}`)})
				store.restore(time.Now())
				n := newTestNode("n", store, grants, 2)
				started := time.Now()
				defer run(t, n)()
				time.Sleep(30 * time.Second)
				sent := grants.after(started)
				must.SliceNotEmpty(t, sent)
				must.GreaterEq(t, coordinator.MaxOfflineRenewal+coordinator.MaxGrantLifetime(), sent[0].at.Sub(started))
				must.Less(t, coordinator.MaxOfflineRenewal+coordinator.MaxGrantLifetime()+3*time.Second, sent[0].at.Sub(started))
			})
		})
	}
}

// Guards against a coordinator that forgets to whom it has granted keys because a late write of an
// earlier coordinator has replaced its table, and against one that never writes a missing table again.
func TestTableOfCoordinatorLost(t *testing.T) {
	for name, lose := range map[string]func(*restorableStore){
		"replaced by a late write": func(s *restorableStore) { storeTable(t, s, moved(1, 9, revision.New(1, 40), 1)) },
		"missing":                  func(s *restorableStore) { s.remove(replica.KindTables, shardedService) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, grants := newRestorableStore(), newRecordedGrants()
				storeTable(t, store, moved(1, 3, revision.New(1, 2), 0))
				store.overwrite(lockKind, platform.Object{Name: lockName, Data: []byte(`{"term":1,"beat":3,"era":1}`)})
				n := newTestNode("n", store, grants, 1)
				defer run(t, n)()
				time.Sleep(3 * time.Second)
				must.Eq(t, 2, storedTable(t, store).Term)
				lose(store)
				changed := time.Now()
				// The holder leaves, so that its keys move and the table has to be written.
				n.view.SetServers(changed, []registry.Server{
					{Instance: backend(0).Instance, Service: shardedService, Address: backendAddress(0), Slots: 4, Draining: true},
					{Instance: backend(2).Instance, Service: shardedService, Address: backendAddress(2), Slots: 4},
				})
				time.Sleep(3 * time.Second)
				must.Eq(t, 2, storedTable(t, store).Term)
				sent := grants.after(changed)
				must.SliceNotEmpty(t, sent)
				must.SliceEmpty(t, grants.hasOverlaps())
				for _, g := range sent {
					must.NotEq(t, backendAddress(1), g.to)
				}
				must.Eq(t, backendAddress(2), sent[len(sent)-1].to)
			})
		})
	}
}

// fullyConnected is the reachability of a process that reaches all servers.
type fullyConnected struct{}

func (fullyConnected) CutOff(time.Time) bool { return false }
