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
	down := false
	for time.Now().Before(end) {
		<-ticker.C
		switch random.IntN(6) {
		case 0:
			c.cut(t, c.coordinator(t), states[random.IntN(2)], 0, 1, 2)
		case 1:
			c.cut(t, c.coordinator(t), states[random.IntN(2)], random.IntN(3))
		case 2, 3:
			c.cut(t, random.IntN(len(c.processes)), pathOpen, 0, 1, 2)
		case 4:
			down = !down
			c.store.setDown(down)
		case 5:
			c.cut(t, random.IntN(len(c.processes)), states[random.IntN(2)], random.IntN(3), random.IntN(3))
		}
		if c.cutProcesses() == len(c.processes) {
			// One process must reach the servers.
			c.cut(t, random.IntN(len(c.processes)), pathOpen, 0, 1, 2)
		}
	}
	c.store.setDown(false)
	group.Wait()
	c.mustBeServed(t, longest)
}

// cutProcesses returns the number of processes that are cut off from all servers.
func (c *roleTest) cutProcesses() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, isCut := range c.isCut {
		if isCut {
			n++
		}
	}
	return n
}
