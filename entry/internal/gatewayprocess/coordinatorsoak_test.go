package gatewayprocess_test

import (
	"flag"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

var soakSeed = flag.Uint64("soakseed", 1, "seed of the soak of cut-off coordinators")

// soakDuration is how long faults follow one another.
const soakDuration = 12 * time.Second

const (
	// roleChangeTime is the time after a cut in which the coordinator's role may change hands.
	roleChangeTime = 2 * time.Second
	// maxOutage is the length of an outage of the store.
	maxOutage = 4 * time.Second
)

// Guards against keys with two owners, fences that do not rise and keys that are not served while the
// coordinator is cut off and reached again and the store fails, in random order.
func TestCoordinatorSoak(t *testing.T) {
	t.Parallel()
	t.Log("seed ", *soakSeed)
	random := rand.New(rand.NewPCG(*soakSeed, 0))
	c := newRoleTest(t)
	var group sync.WaitGroup
	var longest map[string]time.Duration
	end := time.Now().Add(soakDuration)
	group.Go(func() { longest = c.sendAll(t, end.Add(3*time.Second)) })
	states := []pathState{pathReset, pathSilent}
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	var down bool
	var lastCut, lastOutage time.Time
	cut := func(process int, state pathState, servers ...int) {
		if process >= 0 {
			c.cut(t, process, state, servers...)
			lastCut = time.Now()
		}
	}
	for time.Now().Before(end) {
		<-ticker.C
		holder := c.roleHolder()
		switch random.IntN(6) {
		case 0:
			cut(holder, states[random.IntN(2)], 0, 1, 2)
		case 1:
			cut(holder, states[random.IntN(2)], random.IntN(3))
		case 2, 3:
			c.cut(t, random.IntN(len(c.processes)), pathOpen, 0, 1, 2)
		case 4:
			// Nobody can take the role while the store is down, so it stays up while the role changes hands.
			if !down && holder >= 0 && time.Since(lastCut) > roleChangeTime {
				down, lastOutage = true, time.Now()
				c.store.setDown(true)
			}
		case 5:
			cut(random.IntN(len(c.processes)), states[random.IntN(2)], random.IntN(3), random.IntN(3))
		}
		if down && time.Since(lastOutage) > maxOutage {
			down = false
			c.store.setDown(false)
		}
		if c.connectedProcesses() == 0 {
			// One process must reach all servers.
			c.cut(t, random.IntN(len(c.processes)), pathOpen, 0, 1, 2)
		}
	}
	c.store.setDown(false)
	group.Wait()
	c.mustBeServed(t, longest)
}

// roleHolder returns the index of the coordinator, or -1 if no process or more than one has the role.
func (c *roleTest) roleHolder() int {
	found := -1
	for i, p := range c.processes {
		if p.metrics.Get("term").String() == "0" {
			continue
		}
		if found >= 0 {
			return -1
		}
		found = i
	}
	return found
}

// connectedProcesses returns the number of processes that are not cut off from any server.
func (c *roleTest) connectedProcesses() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, p := range c.processes {
		if len(c.cutFrom[p.settings.Name]) == 0 {
			n++
		}
	}
	return n
}
