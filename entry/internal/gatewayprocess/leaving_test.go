package gatewayprocess_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// leavingDelay is the time after its first statement from which on a server that leaves must get no request.
const leavingDelay = 2500 * time.Millisecond

var serverLeaves = http.Header{"Server-Leaving": {"1"}}

// startStatementTest starts processes and two servers of a service that is sharded or not, and sends some
// requests to all of them.
func startStatementTest(t *testing.T, sharded bool, names ...string) (s *fakeStore, processes []*testProcess, a, b *fakeBackend) {
	s = newFakeStore(t)
	a, b = newFakeBackend(t, "a"), newFakeBackend(t, "b")
	a.plain, b.plain = !sharded, !sharded
	s.put("config", "main", strings.Replace(fmt.Sprintf(configurationFormat, 1), `"sharded":true`, fmt.Sprintf(`"sharded":%t`, sharded), 1))
	s.put("servers", "a", a.registryEntry("ready"))
	s.put("servers", "b", b.registryEntry("ready"))
	for _, name := range names {
		processes = append(processes, startProcess(t, s, name))
	}
	for _, p := range processes {
		eventually(t, 10*time.Second, "all keys are served", func() bool { return p.servesAllKeys(t.Name()) })
	}
	sendSteadily(t, processes, "/get/x", 60, time.Now().Add(time.Second), time.Time{})
	return s, processes, a, b
}

// arrivedAfterStatement returns the requests that arrived later than delay after the first one that the same
// process has sent since the server made its statement. The requests are those of sendSteadily.
func (b *fakeBackend) arrivedAfterStatement(t *testing.T, processes int, stated time.Time, delay time.Duration) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := make(map[int]time.Time)
	var late []string
	for _, r := range b.requests {
		if r.at.Before(stated) {
			continue
		}
		number, err := strconv.Atoi(r.id[strings.LastIndex(r.id, "-")+1:])
		must.NoError(t, err)
		process := number % processes
		if first[process].IsZero() {
			first[process] = r.at
		}
		if r.at.Sub(first[process]) > delay {
			late = append(late, r.id)
		}
	}
	return late
}

// Guards against requests to a server that has stated that it leaves: from processes that reach the store or
// do not, with a service that is sharded or not.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		sharded bool
		path    string
		down    bool
	}{
		{true, "/get/y", false},
		{true, "/final/y", true},
		{false, "/final/y", false},
		{false, "/get/y", true},
	} {
		t.Run(fmt.Sprintf("sharded %t, path %s, store down %t", c.sharded, c.path, c.down), func(t *testing.T) {
			t.Parallel()
			s, processes, _, b := startStatementTest(t, c.sharded, "first", "second", "third")
			s.setDown(c.down)
			stated := time.Now()
			b.setHeader(serverLeaves)
			until := stated.Add(leavingDelay + 2*time.Second)
			statuses := sendSteadily(t, processes, c.path, 60, until, stated.Add(leavingDelay))
			t.Logf("responses: %v", statuses)
			must.SliceEmpty(t, b.arrivedAfterStatement(t, len(processes), stated, leavingDelay))
			if c.sharded && c.down {
				// No keys can move, so those of the server that leaves are refused.
				must.Positive(t, statuses[200])
				must.Eq(t, 0, statuses[0]+statuses[502]+statuses[504])
				return
			}
			must.Greater(t, 9*statuses[503], statuses[200])
		})
	}
}

// Guards against keys that stay with a server that leaves because only a process that is not the coordinator
// has heard it.
func TestLeavingIsReported(t *testing.T) {
	t.Parallel()
	_, processes, _, b := startStatementTest(t, true, "first", "second")
	other := processes[0]
	if other.metrics.Get("term").String() != "0" {
		other = processes[1]
	}
	must.Eq(t, "0", other.metrics.Get("term").String())
	b.setHeader(serverLeaves)
	stated := time.Now()
	sendSteadily(t, []*testProcess{other}, "/get/y", 60, stated.Add(leavingDelay), stated)
	must.Eq(t, 0, b.heldKeys(testKeys))
	for _, p := range processes {
		must.True(t, p.logs.logged("server states that it leaves") || p == other, must.Sprint(p.settings.Name))
		must.LessEq(t, 1, p.logs.count("server states that it leaves"))
	}
}

// Guards against a client that waits for an owner of its key while all servers of the service leave.
func TestAllServersLeave(t *testing.T) {
	t.Parallel()
	_, processes, a, b := startStatementTest(t, true, "only")
	a.setHeader(serverLeaves)
	b.setHeader(serverLeaves)
	stated := time.Now()
	sendSteadily(t, processes, "/get/y", 60, stated.Add(leavingDelay), stated)
	sent := time.Now()
	status, body := processes[0].send("/get/z", "refused-0", 1)
	must.Eq(t, http.StatusServiceUnavailable, status)
	must.Eq(t, "servers leave\n", body)
	must.Less(t, 500*time.Millisecond, time.Since(sent))
	must.SliceEmpty(t, append(a.arrivedAfterStatement(t, 1, stated, leavingDelay), b.arrivedAfterStatement(t, 1, stated, leavingDelay)...))
}

// Guards against a statement that can't be used and that ends the use of a server, fills the log or is not
// counted.
func TestInvalidLeaving(t *testing.T) {
	t.Parallel()
	_, processes, _, b := startStatementTest(t, true, "only")
	for _, values := range [][]string{{"0"}, {""}, {"true"}, {"1, 1"}, {"1", "0"}, {strings.Repeat("1", 4000)}} {
		b.setHeader(http.Header{"Server-Leaving": values})
		begin := time.Now()
		sendSteadily(t, processes, "/get/y", 60, begin.Add(300*time.Millisecond), begin)
		must.SliceNotEmpty(t, b.arrivedIn(begin, time.Now()), must.Sprint(values))
	}
	must.Eq(t, 1, processes[0].logs.count("statement of a server can't be used"))
	must.StrContains(t, processes[0].metrics.Get("statements").String(), `"servers":0`)
	must.StrNotContains(t, processes[0].metrics.Get("statements").String(), `"invalid":0`)
}
