package gatewayprocess_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// grantRecord records the grants that the servers of a test accept, and which of them break the rules of
// ownership.
type grantRecord struct {
	mu       sync.Mutex
	began    time.Time
	accepted []acceptedGrant
	broken   []string
	ended    map[*fakeBackend]bool
}

// acceptedGrant is a grant that an instance has accepted. It lasts until the given time.
type acceptedGrant struct {
	instance    *fakeBackend
	first, last int
	fence       uint64
	until       time.Time
}

func newGrantRecord() *grantRecord {
	return &grantRecord{began: time.Now(), ended: make(map[*fakeBackend]bool)}
}

// add records a grant or release. Fences must be above those with which other instances had the keys,
// and no other instance may hold the keys.
func (g *grantRecord) add(b *fakeBackend, release bool, first, last int, fence uint64, hold time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if release {
		g.release(b, first, last)
		return
	}
	for _, a := range g.accepted {
		if a.instance == b || a.last < first || last < a.first {
			continue
		}
		if a.fence >= fence {
			g.reportBroken(now, b, a, first, last, fence, "had them with fence")
		}
		// A grant that expires at once only raises the fence.
		if a.until.After(now) && hold > time.Millisecond {
			g.reportBroken(now, b, a, first, last, fence, "holds them with fence")
		}
	}
	until := now.Add(hold)
	if hold <= time.Millisecond || g.ended[b] {
		until = now
	}
	g.accepted = slices.DeleteFunc(g.accepted, func(a acceptedGrant) bool {
		return a.instance == b && a.first == first && a.last == last && a.fence <= fence
	})
	g.accepted = append(g.accepted, acceptedGrant{b, first, last, fence, until})
}

// reportBroken records that an instance gets keys that another one had or holds.
func (g *grantRecord) reportBroken(now time.Time, b *fakeBackend, a acceptedGrant, first, last int, fence uint64, what string) {
	g.broken = append(g.broken, fmt.Sprintf("%d ms: %s (born %d) gets keys %d to %d with fence %d.%d, %s (born %d) %s %d.%d",
		now.Sub(g.began).Milliseconds(), b.id, b.born, first, last, fence>>32, uint32(fence), a.instance.id, a.instance.born, what, a.fence>>32, uint32(a.fence)))
}

// release ends the grants of an instance for a range of keys.
func (g *grantRecord) release(b *fakeBackend, first, last int) {
	var split []acceptedGrant
	for _, a := range g.accepted {
		if a.instance != b || a.last < first || last < a.first {
			split = append(split, a)
			continue
		}
		if a.first < first {
			split = append(split, acceptedGrant{b, a.first, first - 1, a.fence, a.until})
		}
		split = append(split, acceptedGrant{b, max(a.first, first), min(a.last, last), a.fence, time.Time{}})
		if last < a.last {
			split = append(split, acceptedGrant{b, last + 1, a.last, a.fence, a.until})
		}
	}
	g.accepted = split
}

// end ends all grants of an instance that has ended.
func (g *grantRecord) end(b *fakeBackend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended[b] = true
	for i := range g.accepted {
		if g.accepted[i].instance == b {
			g.accepted[i].until = time.Time{}
		}
	}
}

func (g *grantRecord) mustHoldRules(t *testing.T) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	must.SliceNotEmpty(t, g.accepted)
	for _, b := range g.broken {
		t.Error(b)
	}
}

// ownerTest is a deployment of three processes and two servers under load.
type ownerTest struct {
	store     *fakeStore
	grants    *grantRecord
	servers   []*fakeBackend
	processes []*testProcess
	ended     int
	load      sync.Mutex
	stopped   []*testProcess
}

func newOwnerTest(t *testing.T) *ownerTest {
	o := &ownerTest{store: newFakeStore(t), grants: newGrantRecord()}
	o.store.put("config", "main", fmt.Sprintf(configurationFormat, 3))
	for i := range 2 {
		b := newFakeBackendAt(t, fmt.Sprintf("server-%d", i), 1, unusedAddress(t), o.grants)
		o.servers = append(o.servers, b)
		o.store.put("servers", b.id, b.registryEntry("ready"))
	}
	for _, name := range []string{"first", "second", "third"} {
		o.processes = append(o.processes, startProcess(t, o.store, name))
	}
	o.mustServe(t, "start")
	o.startLoad(t)
	return o
}

// mustServe waits until all processes serve all test keys.
func (o *ownerTest) mustServe(t *testing.T, idPrefix string) {
	t.Helper()
	for _, p := range o.processes {
		eventually(t, 20*time.Second, p.settings.Name+" serves", func() bool { return p.servesAllKeys(idPrefix) })
	}
}

// startLoad sends 100 requests a second, spread over processes and keys, until the test ends.
func (o *ownerTest) startLoad(t *testing.T) {
	end := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(10 * time.Millisecond)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			case <-ticker.C:
				o.load.Lock()
				p := o.processes[i%3]
				o.load.Unlock()
				group.Go(func() { p.sendWithin(time.Second, "/get/x", fmt.Sprint("load-", i), i*7919%65536) })
			}
		}
	})
	t.Cleanup(func() {
		close(end)
		group.Wait()
	})
}

// setProcesses sets the processes that get requests.
func (o *ownerTest) setProcesses(p ...*testProcess) {
	o.load.Lock()
	defer o.load.Unlock()
	o.processes = p
}

// stopCoordinator stops the coordinator and starts another process in its place.
func (o *ownerTest) stopCoordinator(t *testing.T) {
	for i, p := range o.processes {
		if !p.logs.logged("coordinator") {
			continue
		}
		p.stop()
		next := slices.Clone(o.processes)
		next[i] = startProcess(t, o.store, "fourth")
		o.stopped = append(o.stopped, p)
		o.setProcesses(next...)
		return
	}
	t.Fatal("no process is the coordinator")
}

// coordinators returns how often a process has taken the coordinator's role.
func (o *ownerTest) coordinators() int {
	n := 0
	for _, p := range append(slices.Clone(o.processes), o.stopped...) {
		n += p.logs.count("coordinator")
	}
	return n
}

// replace ends a server. After the gap another instance listens at its address, and its entry in the store
// follows after lag.
func (o *ownerTest) replace(t *testing.T, id string, gap, lag time.Duration) {
	i := o.ended % len(o.servers)
	o.ended++
	former := o.servers[i]
	former.end(t)
	<-time.After(gap)
	next := newFakeBackendAt(t, id, former.born+1, former.address, o.grants)
	<-time.After(lag)
	o.store.put("servers", next.id, next.registryEntry("ready"))
	if next.id != former.id {
		o.store.remove("servers", former.id)
	}
	o.servers[i] = next
}

// replacements are the times between the end of a server, the start of the next one at its address and
// the entry of that one in the store.
var replacements = []struct{ gap, lag time.Duration }{
	{0, 0},
	{300 * time.Millisecond, 0},
	{0, time.Second},
	{300 * time.Millisecond, time.Second},
	{0, 2500 * time.Millisecond},
	{300 * time.Millisecond, 2500 * time.Millisecond},
}

// Guards against grants meant for a server that has ended which reach another one at its address.
func TestOtherInstanceAtAddress(t *testing.T) {
	t.Parallel()
	o := newOwnerTest(t)
	for i, r := range replacements {
		o.replace(t, fmt.Sprintf("other-%d", i), r.gap, r.lag)
		o.mustServe(t, fmt.Sprint("after-", i))
	}
	o.grants.mustHoldRules(t)
}

// Guards against grants meant for a server that has ended which reach its next life with the same ID.
func TestNewLifeAtAddress(t *testing.T) {
	t.Parallel()
	o := newOwnerTest(t)
	for i, r := range replacements {
		o.replace(t, o.servers[o.ended%2].id, r.gap, r.lag)
		o.mustServe(t, fmt.Sprint("after-", i))
	}
	o.grants.mustHoldRules(t)
}

// replaceTwice ends a server, and the instance that follows it ends within a second of its start. The entry
// of the third one follows.
func (o *ownerTest) replaceTwice(t *testing.T, ids [2]string) {
	former := o.servers[0]
	former.end(t)
	short := newFakeBackendAt(t, ids[0], former.born+1, former.address, o.grants)
	<-time.After(900 * time.Millisecond)
	short.end(t)
	next := newFakeBackendAt(t, ids[1], former.born+2, former.address, o.grants)
	<-time.After(600 * time.Millisecond)
	o.store.put("servers", next.id, next.registryEntry("ready"))
	if next.id != former.id {
		o.store.remove("servers", former.id)
	}
	o.servers[0] = next
}

// Guards against a fence that reaches the second of two instances which follow within a second, also while
// the store is down and after a change of coordinator.
func TestTwoLivesWithinSecond(t *testing.T) {
	o := newOwnerTest(t)
	id := o.servers[0].id
	o.replaceTwice(t, [2]string{id, id})
	o.mustServe(t, "same")
	o.replaceTwice(t, [2]string{"other", "another"})
	o.mustServe(t, "other")
	o.store.setDown(true)
	o.replaceTwice(t, [2]string{"another", "another"})
	o.store.setDown(false)
	o.mustServe(t, "down")
	o.stopCoordinator(t)
	o.replaceTwice(t, [2]string{"another", "again"})
	o.mustServe(t, "coordinator stopped")
	o.replaceTwice(t, [2]string{"again", "again"})
	o.mustServe(t, "coordinator changed")
	eventually(t, 10*time.Second, "a process takes the role again", func() bool { return o.coordinators() > 1 })
	o.grants.mustHoldRules(t)
}

// ownerSeed selects the course of TestOwnerSoak.
var ownerSeed = flag.Uint64("owner.seed", 1, "seed of TestOwnerSoak")

// Guards against owners that break the rules while servers end and return at their addresses, connections
// are cut, the store fails and the coordinator changes.
func TestOwnerSoak(t *testing.T) {
	random := rand.New(rand.NewPCG(*ownerSeed, 0))
	o := newOwnerTest(t)
	milliseconds := func(most int) time.Duration { return time.Duration(random.IntN(most+1)) * time.Millisecond }
	stopAt := random.IntN(8)
	for i := range 8 {
		switch random.IntN(3) {
		case 0:
			o.store.setDown(true)
		case 1:
			for _, b := range o.servers {
				b.closeConnections()
			}
		}
		id := o.servers[o.ended%2].id
		if random.IntN(2) == 0 {
			id = fmt.Sprint("soak-", i)
		}
		o.replace(t, id, milliseconds(600), milliseconds(1500))
		o.store.setDown(false)
		<-time.After(milliseconds(400))
		if i == stopAt {
			o.stopCoordinator(t)
		}
	}
	o.mustServe(t, "end")
	eventually(t, 10*time.Second, "a process takes the role again", func() bool { return o.coordinators() > 1 })
	o.grants.mustHoldRules(t)
}
