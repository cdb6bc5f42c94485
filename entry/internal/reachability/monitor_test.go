package reachability_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/reachability"
)

// fakeNetwork answers probes. A probe of a cut network fails after dialTimeout.
type fakeNetwork struct {
	mu sync.Mutex
	// cut fails all probes, and mute only those that need an answer.
	cut, mute bool
	probes    int
}

const dialTimeout = 300 * time.Millisecond

func (n *fakeNetwork) set(cut, mute bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut, n.mute = cut, mute
}

func (n *fakeNetwork) probeCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.probes
}

func (n *fakeNetwork) Probe(ctx context.Context, _ registry.Server, exchange bool) error {
	n.mu.Lock()
	n.probes++
	fails := n.cut || n.mute && exchange
	n.mu.Unlock()
	if !fails {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(dialTimeout):
	}
	return errors.New("timeout")
}

// startMonitor returns a monitor of the given number of servers that runs until the end of the test.
func startMonitor(t *testing.T, network *fakeNetwork, servers int) (*reachability.Monitor, []registry.Server) {
	var list []registry.Server
	for i := range servers {
		s := registry.Server{Instance: registry.Instance{ID: fmt.Sprint("s", i), Incarnation: 1}, Service: "svc"}
		list = append(list, s)
	}
	m := reachability.New(func() []registry.Server { return list }, network, &log.Logger{Handler: discard.New()})
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { m.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return m, list
}

// Guards against a process that takes slow or crashed servers for a partition of its own, and against one
// that doesn't notice its partition.
func TestCutOffBySeveralServers(t *testing.T) {
	const unreached, reset, answer = "unreached", "reset", "answer"
	type step struct {
		server int
		what   string
	}
	for name, c := range map[string]struct {
		servers int
		steps   []step
		cutOff  bool
		// interval is the time between two steps.
		interval time.Duration
	}{
		"one server crashed":                     {3, []step{{0, unreached}, {0, unreached}, {0, unreached}}, false, 100 * time.Millisecond},
		"all of three":                           {3, []step{{0, unreached}, {1, unreached}, {2, unreached}}, true, 100 * time.Millisecond},
		"three of many":                          {9, []step{{0, unreached}, {4, unreached}, {7, unreached}}, true, 100 * time.Millisecond},
		"three of many crashed, one answers":     {9, []step{{0, unreached}, {4, unreached}, {5, answer}, {7, unreached}}, false, 100 * time.Millisecond},
		"both of two":                            {2, []step{{0, unreached}, {1, unreached}}, true, 100 * time.Millisecond},
		"the only one":                           {1, []step{{0, unreached}, {0, unreached}}, false, 100 * time.Millisecond},
		"one reset each, as by overloaded ones":  {3, []step{{0, reset}, {1, reset}, {2, reset}}, false, 100 * time.Millisecond},
		"two resets each":                        {3, []step{{0, reset}, {1, reset}, {2, reset}, {0, reset}, {1, reset}, {2, reset}}, true, 100 * time.Millisecond},
		"timeouts between two answers":           {9, []step{{8, answer}, {0, unreached}, {1, unreached}, {2, unreached}}, false, 10 * time.Millisecond},
		"the same without an answer after them":  {9, []step{{8, answer}, {0, unreached}, {1, unreached}, {2, unreached}, {2, unreached}}, true, 100 * time.Millisecond},
		"kept connections answer, new ones fail": {3, []step{{0, unreached}, {0, answer}, {1, unreached}, {1, answer}, {2, unreached}, {2, answer}}, false, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := &fakeNetwork{}
				network.set(true, false)
				m, list := startMonitor(t, network, c.servers)
				for _, s := range c.steps {
					time.Sleep(c.interval)
					switch now := time.Now(); s.what {
					case unreached:
						m.RecordUnreached(now, list[s.server])
					case reset:
						m.RecordReset(now, list[s.server])
					case answer:
						m.RecordAnswer(now, list[s.server])
					}
				}
				must.Eq(t, c.cutOff, m.CutOff(time.Now()))
				must.Eq(t, c.cutOff, m.Connected("svc").Err() != nil)
			})
		})
	}
}

// Guards against a process that takes the loss of a third of a thousand servers for a partition of its own, and
// against one that does not notice its partition among as many.
func TestManyServersLost(t *testing.T) {
	const attempts, interval = 300, 150 * time.Millisecond
	for lostPercent, cutOff := range map[int]bool{35: false, 100: true} {
		t.Run(fmt.Sprint(lostPercent, " of 100 lost"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := &fakeNetwork{}
				m, list := startMonitor(t, network, 999)
				random, found := rand.New(rand.NewPCG(1, 2)), false
				for range attempts {
					time.Sleep(interval)
					i := random.IntN(len(list))
					if i*100 < lostPercent*len(list) {
						// A new connection is given up after the timeout.
						time.AfterFunc(dialTimeout, func() { m.RecordUnreached(time.Now(), list[i]) })
					} else {
						time.AfterFunc(700*time.Millisecond, func() { m.RecordReached(time.Now(), list[i]) })
					}
					found = found || m.CutOff(time.Now())
				}
				time.Sleep(time.Second)
				must.Eq(t, cutOff, found)
			})
		})
	}
}

// Guards against a partition in which requests hang that is not noticed within about a second, and against
// its end that is not.
func TestSilenceIsProbed(t *testing.T) {
	for name, c := range map[string]struct {
		cut, mute bool
		within    time.Duration
	}{
		"connections hang":    {true, false, 1200 * time.Millisecond},
		"nothing is answered": {false, true, 2200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := &fakeNetwork{}
				network.set(c.cut, c.mute)
				m, list := startMonitor(t, network, 5)
				for _, s := range list[:2] {
					defer m.RequestSent(time.Now(), s)()
				}
				connected := m.Connected("svc")
				begin := time.Now()
				<-connected.Done()
				must.LessEq(t, c.within, time.Since(begin))
				must.True(t, m.CutOff(time.Now()))
				must.True(t, m.Unreached(time.Now(), list[4]))
				time.Sleep(3 * time.Second)
				must.True(t, m.CutOff(time.Now()))
				network.set(false, false)
				time.Sleep(time.Second)
				must.False(t, m.CutOff(time.Now()))
			})
		})
	}
}

// Guards against slow servers that are taken for a partition, and against more than a few probes of them.
func TestSlowServersAreReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &fakeNetwork{}
		m, list := startMonitor(t, network, 5)
		for _, s := range list {
			defer m.RequestSent(time.Now(), s)()
		}
		const observed = 20 * time.Second
		time.Sleep(observed)
		must.False(t, m.CutOff(time.Now()))
		must.LessEq(t, 3*int(observed/time.Second), network.probeCount())
	})
}

// Guards against probes of a server that is gone or that nobody asks for.
func TestUnreachedServerIsProbedOnDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &fakeNetwork{}
		network.set(true, false)
		m, list := startMonitor(t, network, 5)
		m.RecordUnreached(time.Now(), list[0])
		time.Sleep(10 * time.Second)
		must.Eq(t, 0, network.probeCount())
		must.True(t, m.Unreached(time.Now(), list[0]))
		must.False(t, m.Unreached(time.Now(), list[1]))
		time.Sleep(10 * time.Second)
		must.Positive(t, network.probeCount())
		must.LessEq(t, 5, network.probeCount())
		network.set(false, false)
		must.True(t, m.Unreached(time.Now(), list[0]))
		time.Sleep(time.Second)
		must.False(t, m.Unreached(time.Now(), list[0]))
	})
}

// Guards against a process that is cut off from one service and takes the answers of another one for those of
// both, or that counts as cut off as a whole.
func TestCutOffFromOneService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &fakeNetwork{}
		network.set(true, false)
		m, list := startMonitor(t, network, 8)
		for i := range list {
			list[i].Service = []string{"cut", "reached"}[i/4]
		}
		for _, s := range list[:4] {
			m.RecordAnswer(time.Now(), list[7])
			time.Sleep(100 * time.Millisecond)
			m.RecordUnreached(time.Now(), s)
		}
		m.RecordAnswer(time.Now().Add(time.Millisecond), list[7])
		must.True(t, m.CutOffFrom("cut"))
		must.False(t, m.CutOffFrom("reached"))
		must.False(t, m.CutOff(time.Now()))
		must.True(t, m.Unreached(time.Now(), list[0]))
		must.False(t, m.Unreached(time.Now(), list[7]))
		must.Eq(t, []string{"cut"}, m.CutOffServices())
		for _, s := range list[4:] {
			time.Sleep(100 * time.Millisecond)
			m.RecordUnreached(time.Now(), s)
		}
		must.True(t, m.CutOff(time.Now()))
		network.set(false, false)
		time.Sleep(time.Second)
		must.False(t, m.CutOff(time.Now()))
		must.SliceEmpty(t, m.CutOffServices())
	})
}

// Guards against a process that ends because all servers of a service were gone from the list for a moment
// while a request was at one that is not reached.
func TestServiceBackInList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := registry.Server{Instance: registry.Instance{ID: "s", Incarnation: 1}, Service: "svc"}
		var mu sync.Mutex
		var list []registry.Server
		set := func(servers ...registry.Server) {
			mu.Lock()
			defer mu.Unlock()
			list = servers
		}
		network := &fakeNetwork{}
		m := reachability.New(func() []registry.Server {
			mu.Lock()
			defer mu.Unlock()
			return list
		}, network, &log.Logger{Handler: discard.New()})
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { m.Run(ctx) })
		ended := m.RequestSent(time.Now(), server)
		m.RecordUnreached(time.Now(), server)
		time.Sleep(50 * time.Millisecond)
		ended()
		set(server)
		must.True(t, m.Unreached(time.Now(), server))
		time.Sleep(time.Second)
		must.Positive(t, network.probeCount())
		must.False(t, m.Unreached(time.Now(), server))
		cancel()
		group.Wait()
	})
}
