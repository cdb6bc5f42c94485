package gatewayprocess_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// cutStable is the time from which on a partitioned process must serve its clients.
	cutStable = 3 * time.Second
	// cutObserved is for how long the requests are counted after that.
	cutObserved = 4 * time.Second
	// failedTries and failedShare bound the first tries that fail: 10 and one in 50 of all.
	failedTries = 10
	failedShare = 50
)

// partitionTests limits the deployments that run at a time, because each takes about a core under the race
// detector. For the same reason the tests of partitions don't run beside the other tests of the package.
var partitionTests = make(chan struct{}, 2)

// firstTries counts the first tries of clients at a process.
type firstTries struct {
	sent, served int
	statuses     map[string]int
}

// partitionTest is a deployment whose processes can be partitioned from the servers.
type partitionTest struct {
	store     *fakeStore
	servers   []*fakeBackend
	relays    []*cutRelay
	processes []*testProcess
}

// newPartitionTest starts three servers and four processes. The first process is the coordinator.
func newPartitionTest(t *testing.T) *partitionTest {
	partitionTests <- struct{}{}
	t.Cleanup(func() { <-partitionTests })
	d := &partitionTest{store: newFakeStore(t)}
	d.store.put("config", "main", fmt.Sprintf(configurationFormat, 1))
	for _, id := range []string{"a", "b", "c"} {
		b := newFakeBackend(t, id)
		r := newCutRelay(t, b.address)
		d.servers, d.relays = append(d.servers, b), append(d.relays, r)
		d.store.put("servers", id, strings.Replace(b.registryEntry("ready"), b.address.String(), r.address.String(), 1))
	}
	for _, name := range []string{"first", "second", "third", "fourth"} {
		p := startProcess(t, d.store, name)
		d.processes = append(d.processes, p)
		eventually(t, 10*time.Second, name+" serves", func() bool { return p.servesAllKeys("start") })
	}
	return d
}

// cut begins or ends a partition of a process from all servers.
func (d *partitionTest) cut(t *testing.T, p *testProcess, kind partitionKind) {
	for _, r := range d.relays {
		r.set(t, p.settings.ClientAddress.Addr(), kind)
	}
}

// sendFirstTries sends requests for spread keys to all processes in turn, 100 a second, until the time is
// over, and counts those that were sent after since, by process.
func (d *partitionTest) sendFirstTries(path string, until, since time.Time) []firstTries {
	const interval = 10 * time.Millisecond
	var mu sync.Mutex
	tries := make([]firstTries, len(d.processes))
	var group sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; time.Now().Before(until); i++ {
		<-ticker.C
		sent := time.Now()
		group.Go(func() {
			n := i % len(d.processes)
			id := fmt.Sprintf("%s-%d-%d", strings.Trim(path, "/"), since.UnixNano(), i)
			status, body := d.processes[n].send(path, id, i*9973%65536)
			mu.Lock()
			defer mu.Unlock()
			if !sent.After(since) {
				return
			}
			c := &tries[n]
			c.sent++
			if c.statuses == nil {
				c.statuses = make(map[string]int)
			}
			if status == http.StatusOK && body == "body of "+id {
				c.served++
			}
			c.statuses[fmt.Sprint(status, " ", strings.TrimSpace(body[:min(len(body), 5)]))]++
		})
	}
	group.Wait()
	return tries
}

// mustServe checks the rule for partitioned processes: their clients are served at least two thirds as
// often as those of the others, or few tries fail. The others lose no service because of the partition.
func mustServe(t *testing.T, tries []firstTries, isCut func(n int) bool) {
	t.Helper()
	var cut, others firstTries
	for n, c := range tries {
		sum := &others
		if isCut(n) {
			sum = &cut
		}
		sum.sent += c.sent
		sum.served += c.served
		t.Logf("process %d, cut off %v: %d of %d served; %v", n, isCut(n), c.served, c.sent, c.statuses)
	}
	must.Positive(t, cut.sent)
	must.Positive(t, others.sent)
	allowed := failedTries + (cut.sent+others.sent)/failedShare
	must.LessEq(t, allowed, others.sent-others.served, must.Sprint("failures at the other processes"))
	if cut.sent-cut.served > allowed {
		must.GreaterEq(t, 2*others.served*cut.sent, 3*cut.served*others.sent, must.Sprint("served at the partitioned processes"))
	}
}

// Guards against clients that are not served because their process reaches no server, and against other
// processes that lose service because of it.
func TestProcessesCutFromServers(t *testing.T) {
	for _, c := range []struct {
		kind partitionKind
		path string
		// cut is the number of processes that are partitioned; the coordinator is not one of them.
		cut int
	}{
		{partitionReset, "/get/x", 3},
		{partitionReset, "/final/x", 1},
		{partitionReset, "/final/x", 3},
		{partitionSilent, "/get/x", 1},
		{partitionSilent, "/get/x", 3},
		{partitionSilent, "/final/x", 1},
		{partitionNew, "/get/x", 1},
		{partitionNew, "/final/x", 2},
		{partitionUnanswered, "/get/x", 1},
	} {
		t.Run(fmt.Sprint(c.kind, c.path, c.cut), func(t *testing.T) {
			t.Parallel()
			d := newPartitionTest(t)
			isCut := func(n int) bool { return n > 0 && n <= c.cut }
			d.sendFirstTries(c.path, time.Now().Add(time.Second), time.Now())
			for n, p := range d.processes {
				if isCut(n) {
					d.cut(t, p, c.kind)
				}
			}
			begin := time.Now()
			tries := d.sendFirstTries(c.path, begin.Add(cutStable+cutObserved), begin.Add(cutStable))
			mustServe(t, tries, isCut)
		})
	}
}

// cutOffMembers returns the number of members that a process knows to be cut off, as its metric says.
func (p *testProcess) cutOffMembers() (n int, self bool) {
	var m struct{ CutOff, Members int }
	if err := json.Unmarshal([]byte(p.metrics.Get("reachability").String()), &m); err != nil {
		return 0, false
	}
	return m.Members, m.CutOff == 1
}

// Guards against a partition that the partitioned process or the others don't notice, and against its end
// that they don't.
func TestPartitionIsReported(t *testing.T) {
	for _, kind := range []partitionKind{partitionReset, partitionSilent, partitionUnanswered} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			d := newPartitionTest(t)
			cut := d.processes[2]
			for _, p := range d.processes {
				n, self := p.cutOffMembers()
				must.Eq(t, 0, n)
				must.False(t, self)
			}
			send := func(until time.Time) { d.sendFirstTries("/get/x", until, until) }
			var group sync.WaitGroup
			defer group.Wait()
			group.Go(func() { send(time.Now().Add(8 * time.Second)) })
			d.cut(t, cut, kind)
			for _, p := range d.processes {
				eventually(t, cutStable, p.settings.Name+" knows of the partition", func() bool {
					n, self := p.cutOffMembers()
					return n == 1 && self == (p == cut)
				})
			}
			d.cut(t, cut, connected)
			for _, p := range d.processes {
				eventually(t, cutStable, p.settings.Name+" knows of its end", func() bool {
					n, self := p.cutOffMembers()
					return n == 0 && !self
				})
			}
		})
	}
}

// Guards against requests of other processes that end without an answer because the process that sends them to
// a server has no clients of its own any more and stops.
func TestRelayedRequestAnsweredBeforeStop(t *testing.T) {
	t.Parallel()
	partitionTests <- struct{}{}
	t.Cleanup(func() { <-partitionTests })
	s := newFakeStore(t)
	a := newFakeBackend(t, "a")
	relay := newCutRelay(t, a.address)
	s.put("config", "main", strings.NewReplacer(`"timeoutMs":2000`, `"timeoutMs":60000`).Replace(fmt.Sprintf(configurationFormat, 3)))
	s.put("servers", "a", strings.Replace(a.registryEntry("ready"), a.address.String(), relay.address.String(), 1))
	const stop = 5 * time.Second
	first := startProcessWithStop(t, stop, s.address, "first")
	eventually(t, 10*time.Second, "first serves", func() bool { return first.servesAllKeys("start") })
	second := startProcess(t, s, "second")
	eventually(t, 10*time.Second, "second serves", func() bool { return second.servesAllKeys("start") })
	relay.set(t, second.settings.ClientAddress.Addr(), partitionReset)
	eventually(t, 10*time.Second, "second serves through first", func() bool { return second.servesAllKeys(fmt.Sprint("cut-", time.Now().UnixNano())) })
	statuses := make(chan int, 1)
	go func() {
		status, _ := second.sendWithin(time.Minute, "/final/x", "slow-relayed", 1)
		statuses <- status
	}()
	eventually(t, 5*time.Second, "the server runs the request", func() bool { return a.slow.Load() == 1 })
	stopped := time.Now()
	first.stop()
	select {
	case status := <-statuses:
		t.Fatalf("the request ended with %d after %s", status, time.Since(stopped))
	case <-time.After(stop * 7 / 10):
	}
	close(a.finishSlow)
	must.Eq(t, http.StatusOK, <-statuses)
}
