package gatewayprocess_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// maxKeyGap is the longest time for which a key may stay without service while a process reaches its
// server.
const maxKeyGap = 3 * time.Second

// roleTest is a deployment of processes and servers in which processes can be cut off from servers.
type roleTest struct {
	store     *fakeStore
	processes []*testProcess
	backends  []*fakeBackend
	listeners []*cutListener
	grants    *grantRecord

	mu sync.Mutex
	// cutFrom has for each process the servers from which it is cut off.
	cutFrom map[string]map[int]bool
}

// roleTests limits how many of these deployments run at a time, because they measure times.
var roleTests = make(chan struct{}, 2)

// newRoleTest starts four processes and three servers of four slots, and waits until all keys are served.
func newRoleTest(t *testing.T) *roleTest {
	roleTests <- struct{}{}
	t.Cleanup(func() { <-roleTests })
	c := &roleTest{store: newFakeStore(t), cutFrom: make(map[string]map[int]bool), grants: newGrantRecord()}
	c.store.put("config", "main", fmt.Sprintf(configurationFormat, 1))
	for _, id := range []string{"a", "b", "c"} {
		b := &fakeBackend{id: id, grants: c.grants, executions: make(map[string]int), finishSlow: make(chan struct{})}
		l := serveCuttable(t, b)
		b.address = netip.MustParseAddrPort(l.Addr().String())
		c.backends, c.listeners = append(c.backends, b), append(c.listeners, l)
		c.store.put("servers", id, b.registryEntry("ready"))
	}
	for i := range 4 {
		c.processes = append(c.processes, startProcess(t, c.store, fmt.Sprint("process-", i)))
	}
	for _, p := range c.processes {
		eventually(t, 10*time.Second, p.settings.Name+" serves", func() bool { return p.isReady() && p.servesAllKeys("start") })
	}
	return c
}

// coordinator returns the index of the coordinator.
func (c *roleTest) coordinator(t *testing.T) int {
	found := -1
	eventually(t, 10*time.Second, "one process is the coordinator", func() bool {
		found = c.roleHolder()
		return found >= 0
	})
	return found
}

// cut changes what happens to connections from a process to the given servers.
func (c *roleTest) cut(t *testing.T, process int, kind pathState, servers ...int) {
	t.Helper()
	c.mu.Lock()
	name := c.processes[process].settings.Name
	if c.cutFrom[name] == nil {
		c.cutFrom[name] = make(map[int]bool)
	}
	for _, s := range servers {
		delete(c.cutFrom[name], s)
		if kind != pathOpen {
			c.cutFrom[name][s] = true
		}
	}
	c.mu.Unlock()
	for _, s := range servers {
		must.NoError(t, c.listeners[s].cut(c.processes[process].settings.ClientAddress.Addr(), kind))
	}
}

// keyService records for each process and key when it was last served.
type keyService struct {
	mu      sync.Mutex
	last    map[string]time.Time
	longest map[string]time.Duration
}

// sampledKeys is the number of keys for which requests are sent.
const sampledKeys = 10

// sampledKey returns the i-th of the keys, which are spread over all keys.
func sampledKey(i int) int { return i % sampledKeys * 65535 / (sampledKeys - 1) }

// record records a response to a request that was sent at a time. The time in which the process is cut off
// does not count.
func (k *keyService) record(process string, key int, sent time.Time, served, isCut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	name := fmt.Sprint(process, " ", key)
	if isCut {
		k.last[name] = sent
		return
	}
	k.longest[process] = max(k.longest[process], sent.Sub(k.last[name]))
	if served && sent.After(k.last[name]) {
		k.last[name] = sent
	}
}

// sendAll sends 100 requests a second, in turn to each of the processes, until the time is over. It returns
// the longest time without service of a key at each of the processes, while it was not cut off.
func (c *roleTest) sendAll(t *testing.T, until time.Time) map[string]time.Duration {
	k := &keyService{last: make(map[string]time.Time), longest: make(map[string]time.Duration)}
	began := time.Now()
	for _, p := range c.processes {
		for i := range sampledKeys {
			k.last[fmt.Sprint(p.settings.Name, " ", sampledKey(i))] = began
		}
	}
	var group sync.WaitGroup
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for i := 0; time.Now().Before(until); i++ {
		<-ticker.C
		sent, p, key := time.Now(), c.processes[i%len(c.processes)], sampledKey(i/len(c.processes))
		group.Go(func() {
			status, _ := p.send("/get/x", fmt.Sprintf("%s-%d", t.Name(), i), key)
			c.mu.Lock()
			isCut := len(c.cutFrom[p.settings.Name]) == len(c.listeners)
			c.mu.Unlock()
			k.record(p.settings.Name, key, sent, status == http.StatusOK, isCut)
		})
	}
	group.Wait()
	return k.longest
}

// mustBeServed checks the longest times without service.
func (c *roleTest) mustBeServed(t *testing.T, longest map[string]time.Duration) {
	t.Helper()
	t.Logf("longest time without service: %v", longest)
	c.grants.mustHoldRules(t)
	for _, p := range c.processes {
		must.LessEq(t, maxKeyGap, longest[p.settings.Name], must.Sprint(p.settings.Name))
	}
}

// Guards against keys that no process serves because the coordinator is cut off from all servers.
func TestCoordinatorCutOff(t *testing.T) {
	t.Parallel()
	for name, kind := range map[string]pathState{"reset": pathReset, "silent": pathSilent} {
		for others := range 3 {
			t.Run(fmt.Sprintf("%s, %d more", name, others), func(t *testing.T) {
				t.Parallel()
				c := newRoleTest(t)
				first := c.coordinator(t)
				isCut := make(map[int]bool)
				for i := range others + 1 {
					cut := (first + i) % len(c.processes)
					isCut[cut] = true
					c.cut(t, cut, kind, 0, 1, 2)
				}
				longest := c.sendAll(t, time.Now().Add(6*time.Second))
				c.mustBeServed(t, longest)
				must.False(t, isCut[c.coordinator(t)], must.Sprint("the role has left the process that is cut off"))
			})
		}
	}
}

// Guards against a role that changes hands while all processes are cut off, and against keys that are not
// served when the cut has ended.
func TestAllProcessesCutOff(t *testing.T) {
	t.Parallel()
	c := newRoleTest(t)
	first := c.coordinator(t)
	// The coordinator is cut off last and reached again first, so that no other process reaches a server alone.
	for i := range c.processes {
		c.cut(t, (first+1+i)%len(c.processes), pathReset, 0, 1, 2)
	}
	c.sendAll(t, time.Now().Add(6*time.Second))
	for i := range c.processes {
		c.cut(t, (first+i)%len(c.processes), pathOpen, 0, 1, 2)
	}
	for _, p := range c.processes {
		eventually(t, maxKeyGap, p.settings.Name+" serves", func() bool { return p.servesAllKeys("healed") })
	}
	for _, p := range c.processes {
		must.Eq(t, 0, p.handOvers(t), must.Sprint(p.settings.Name, " has given up the role"))
	}
}

// handOvers returns how often the process has given up the coordinator's role because it was cut off.
func (p *testProcess) handOvers(t *testing.T) int {
	var contact struct{ Handed int }
	must.NoError(t, json.Unmarshal([]byte(p.metrics.Get("contact").String()), &contact))
	return contact.Handed
}

// Guards against a process that has given up the role because it was cut off and never takes it again, and
// against a cut that moves from process to process and leaves keys without service.
func TestCutMovesWithRole(t *testing.T) {
	t.Parallel()
	c := newRoleTest(t)
	var group sync.WaitGroup
	var longest map[string]time.Duration
	group.Go(func() { longest = c.sendAll(t, time.Now().Add(12*time.Second)) })
	isCut := make(map[int]bool)
	for len(isCut) < len(c.processes)-1 {
		cut := c.coordinator(t)
		isCut[cut] = true
		c.cut(t, cut, pathReset, 0, 1, 2)
		eventually(t, maxKeyGap, "another process has the role", func() bool { return c.coordinator(t) != cut })
	}
	last := c.coordinator(t)
	must.False(t, isCut[last])
	for i := range isCut {
		c.cut(t, i, pathOpen, 0, 1, 2)
	}
	c.cut(t, last, pathReset, 0, 1, 2)
	eventually(t, maxKeyGap, "a process that was cut off has the role again", func() bool { return isCut[c.coordinator(t)] })
	group.Wait()
	c.mustBeServed(t, longest)
}

// Guards against keys that are not served because the coordinator does not reach their servers, while it
// reaches others or can't give up its role because the store is down.
func TestOrdersThroughOtherProcesses(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		state     pathState
		servers   []int
		storeDown bool
	}{
		"reset, two of three servers":     {pathReset, []int{0, 2}, false},
		"silent, two of three servers":    {pathSilent, []int{0, 2}, false},
		"silent, one of three servers":    {pathSilent, []int{1}, false},
		"reset, all servers, store down":  {pathReset, []int{0, 1, 2}, true},
		"silent, all servers, store down": {pathSilent, []int{0, 1, 2}, true},
		"reset, two servers, store down":  {pathReset, []int{0, 1}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newRoleTest(t)
			first := d.coordinator(t)
			if c.storeDown {
				d.store.setDown(true)
			}
			d.cut(t, first, c.state, c.servers...)
			longest := d.sendAll(t, time.Now().Add(7*time.Second))
			d.mustBeServed(t, longest)
			must.Eq(t, first, d.coordinator(t), must.Sprint("the role stays"))
			if c.storeDown {
				d.store.setDown(false)
				d.mustBeServed(t, d.sendAll(t, time.Now().Add(4*time.Second)))
			}
		})
	}
}

// Guards against keys that are not served because the coordinator is stopped as planned while it is cut off,
// or while another cut overlaps with its own.
func TestCutOffCoordinatorStopped(t *testing.T) {
	t.Parallel()
	c := newRoleTest(t)
	first := c.coordinator(t)
	stopping := c.processes[first]
	next := (first + 1) % len(c.processes)
	var group sync.WaitGroup
	var longest map[string]time.Duration
	group.Go(func() { longest = c.sendAll(t, time.Now().Add(9*time.Second)) })
	c.cut(t, first, pathSilent, 0, 1, 2)
	c.cut(t, next, pathReset, 0, 2)
	group.Go(stopping.stop)
	eventually(t, 10*time.Second, "another process has the role", func() bool { return c.coordinator(t) != first })
	c.cut(t, next, pathOpen, 0, 1, 2)
	c.cut(t, (first+2)%len(c.processes), pathReset, 1)
	group.Wait()
	delete(longest, stopping.settings.Name)
	c.mustBeServed(t, longest)
}
