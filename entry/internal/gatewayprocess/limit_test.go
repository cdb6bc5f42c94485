package gatewayprocess_test

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// limitStable is the time from which on a limit must be observed after it was first named.
	limitStable = 3 * time.Second
	// limitLearned is the time from which on requests count against a limit that was named before.
	limitLearned = 500 * time.Millisecond
	// limitWindow is the length of the windows in which requests are counted.
	limitWindow = 4 * time.Second
)

// sendSteadily sends requests for spread keys to all processes in turn, at the given rate, until the time
// is over. It returns the number of responses by status, of requests sent after since.
func sendSteadily(t *testing.T, processes []*testProcess, path string, perSecond int, until, since time.Time) map[int]int {
	var mu sync.Mutex
	statuses := make(map[int]int)
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := 0; time.Now().Before(until); i++ {
		<-ticker.C
		sent := time.Now()
		group.Go(func() {
			status, _ := processes[i%len(processes)].send(path, fmt.Sprintf("%s-%s-%d", t.Name(), path, i), i*9973%65536)
			mu.Lock()
			defer mu.Unlock()
			if sent.After(since) {
				statuses[status]++
			}
		})
	}
	group.Wait()
	return statuses
}

// startLimitTest starts processes and two servers, and returns one of the servers when all keys are served.
func startLimitTest(t *testing.T, names []string) ([]*testProcess, *fakeBackend) {
	s := newFakeStore(t)
	a, b := newFakeBackend(t, "a"), newFakeBackend(t, "b")
	s.put("config", "main", fmt.Sprintf(configurationFormat, 1))
	s.put("servers", "a", a.registryEntry("ready"))
	s.put("servers", "b", b.registryEntry("ready"))
	var processes []*testProcess
	for _, name := range names {
		processes = append(processes, startProcess(t, s, name))
	}
	for _, p := range processes {
		eventually(t, 10*time.Second, "all keys are served", func() bool { return p.servesAllKeys(t.Name()) })
	}
	return processes, b
}

// Guards against a server that gets more requests from all processes together than the limit it names.
func TestServerLimitAcrossProcesses(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		names   []string
		path    string
		limit   string
		allowed int
	}{
		// Allowed are one and a half times the limit and five requests.
		{[]string{"first", "second", "third"}, "/get/x", "0.5", 8},
		{[]string{"first", "second", "third"}, "/get/x", "3", 23},
		{[]string{"first", "second", "third"}, "/final/x", "3", 23},
		{[]string{"first", "second", "third"}, "/get/x", "12.25", 78},
		{[]string{"only"}, "/get/x", "3", 23},
	} {
		t.Run(fmt.Sprint(len(c.names), c.path, c.limit), func(t *testing.T) {
			t.Parallel()
			processes, b := startLimitTest(t, c.names)
			sendSteadily(t, processes, c.path, 60, time.Now().Add(2*time.Second), time.Time{})
			b.setLimit(c.limit)
			named := time.Now()
			statuses := sendSteadily(t, processes, c.path, 60, named.Add(limitStable+limitWindow), named.Add(limitStable))
			most := b.maxArrivals(named.Add(limitLearned), named.Add(limitStable), limitWindow)
			t.Logf("requests in the worst window: %d of %d allowed; responses: %v", most, c.allowed, statuses)
			must.LessEq(t, c.allowed, most)
		})
	}
}

// Guards against requests that are refused although other servers have room for the keys of a server that
// limits its requests, and against a server that gets no keys after its limit has ended.
func TestKeysLeaveLimitedServer(t *testing.T) {
	t.Parallel()
	const perSecond = 60
	processes, b := startLimitTest(t, []string{"first", "second"})
	b.setLimit("3")
	named := time.Now()
	statuses := sendSteadily(t, processes, "/get/x", perSecond, named.Add(limitStable+limitWindow), named.Add(limitStable))
	t.Logf("responses while the limit is in force: %v", statuses)
	must.Greater(t, 9*statuses[503], statuses[200])
	b.setLimit("")
	ended := time.Now()
	statuses = sendSteadily(t, processes, "/get/y", perSecond, ended.Add(2*limitWindow), ended.Add(limitWindow))
	got := b.maxArrivals(ended.Add(limitWindow), ended.Add(limitWindow), limitWindow)
	t.Logf("after the limit: %v, of these %d at the server that had named it", statuses, got)
	must.Greater(t, 9*statuses[503], statuses[200])
	// Below this part of its fair load, at this number of requests, a server gets keys.
	const underused = 0.43
	expected := underused * perSecond * limitWindow.Seconds() / 2
	must.Greater(t, expected-3*math.Sqrt(expected), float64(got))
}
