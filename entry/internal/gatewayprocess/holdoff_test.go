package gatewayprocess_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against requests to a server from a process that it has told to send none for a time, and against
// requests that are refused although another server, or another process, could serve them.
func TestServerWantsNoRequestsForATime(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		sharded bool
		path    string
		seconds string
		// all is true if the server turns away all processes, otherwise the first one.
		all bool
	}{
		{true, "/get/y", "2.5", false},
		{true, "/final/y", "4", true},
		{false, "/final/y", "2.5", true},
		{false, "/get/y", "4", false},
	} {
		t.Run(fmt.Sprintf("sharded %t, path %s, seconds %s, all %t", c.sharded, c.path, c.seconds, c.all), func(t *testing.T) {
			t.Parallel()
			s, processes, _, b := startStatementTest(t, c.sharded, "first", "second", "third")
			first := processes[0].settings.ClientAddress.Addr().String()
			begin := time.Now()
			// After this time the server takes requests again, if it gets any.
			const refusing = 3 * time.Second
			b.setTurnAway(func(from string) string {
				if time.Since(begin) < refusing && (c.all || from == first) {
					return c.seconds
				}
				return ""
			})
			const settled = 1500 * time.Millisecond
			statuses := sendSteadily(t, processes, c.path, 60, begin.Add(5*time.Second), begin.Add(settled))
			most := b.arrivedWhileHeld(t)
			t.Logf("requests while held: %d of 2 allowed; responses: %v", most, statuses)
			must.LessEq(t, 2, most)
			must.Greater(t, 9*statuses[503], statuses[200])
			must.Eq(t, 0, statuses[0]+statuses[502]+statuses[504])
			if !c.sharded {
				// Otherwise the other server may get all requests, because it answers sooner.
				s.remove("servers", "a")
			}
			ended := time.Now()
			eventually(t, 10*time.Second, "the server gets requests again", func() bool {
				sendSteadily(t, processes, "/get/z", 60, time.Now().Add(200*time.Millisecond), ended)
				return len(b.arrivedIn(ended, time.Now())) > 0
			})
		})
	}
}

// Guards against a Retry-After for the client that is earlier than the end of the hold or missing, a wait of the
// client before it, and a hold that is not in the log and the dump.
func TestAllServersWantNoRequests(t *testing.T) {
	t.Parallel()
	for _, sharded := range []bool{true, false} {
		t.Run(fmt.Sprintf("sharded %t", sharded), func(t *testing.T) {
			t.Parallel()
			_, processes, a, b := startStatementTest(t, sharded, "only")
			refuse := func(string) string { return "30" }
			a.setTurnAway(refuse)
			b.setTurnAway(refuse)
			begin := time.Now()
			sendSteadily(t, processes, "/get/y", 60, begin.Add(time.Second), begin)
			sent := time.Now()
			response, err := processes[0].exchange(3*time.Second, "/final/z", "held-0", 1)
			must.NoError(t, err)
			must.NoError(t, response.Body.Close())
			must.Less(t, 500*time.Millisecond, time.Since(sent))
			must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
			retryAfter, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			must.NoError(t, err)
			// The last statements were made at most a second before; the times to try again are spread.
			must.Between(t, 28, retryAfter, 31)
			must.SliceEmpty(t, append(a.arrivedIn(sent, time.Now()), b.arrivedIn(sent, time.Now())...))
			must.StrContains(t, processes[0].metrics.Get("reasons").String(), `"held off"`)
			must.StrContains(t, processes[0].metrics.Get("statements").String(), `"held":2`)
			must.Eq(t, 2, processes[0].logs.count("server takes no requests from this process for a time"))
		})
	}
}

// Guards against a Retry-After that can't be used and that ends the use of a server, fills the log or is not
// counted, and against a time in the past.
func TestInvalidRetryAfterOfServer(t *testing.T) {
	t.Parallel()
	_, processes, a, b := startStatementTest(t, true, "only")
	for _, value := range []string{"-1", "NaN", "Inf", "soon", "1e9", "0", "Mon, 01 Jan 2001 00:00:00 GMT"} {
		// Both servers turn requests away, because the keys leave a server that is slower than the other one.
		a.setTurnAway(func(string) string { return value })
		b.setTurnAway(func(string) string { return value })
		begin := time.Now()
		sendSteadily(t, processes, "/get/y", 60, begin.Add(500*time.Millisecond), begin)
		arrived := append(a.arrivedIn(begin, time.Now()), b.arrivedIn(begin, time.Now())...)
		must.Greater(t, 2*2, len(arrived), must.Sprint(value))
	}
	must.StrNotContains(t, processes[0].metrics.Get("reasons").String(), `"held off"`)
	must.Eq(t, 1, processes[0].logs.count("statement of a server can't be used"))
	must.Eq(t, 0, processes[0].logs.count("server takes no requests from this process for a time"))
	must.StrNotContains(t, processes[0].metrics.Get("statements").String(), `"invalid":0`)
}

// Guards against a hold that outlives the instance that has stated it: another one has its address.
func TestHoldEndsWithInstance(t *testing.T) {
	t.Parallel()
	s, processes, a, b := startStatementTest(t, false, "only")
	b.setTurnAway(func(string) string { return "3600" })
	begin := time.Now()
	sendSteadily(t, processes, "/get/y", 60, begin.Add(time.Second), begin)
	s.remove("servers", "a")
	eventually(t, 5*time.Second, "no server takes requests", func() bool {
		status, _ := processes[0].send("/get/z", "none-0", 1)
		return status == http.StatusServiceUnavailable
	})
	b.setTurnAway(nil)
	b.mu.Lock()
	b.id = "c"
	b.mu.Unlock()
	s.remove("servers", "b")
	s.put("servers", "c", fmt.Sprintf(`{"service":"keyed","address":%q,"zone":"x","version":"v1","maxConcurrency":4,"state":"ready","warmupLeftMs":0,"seq":1,"born":2}`, b.address))
	eventually(t, 5*time.Second, "the next instance gets requests", func() bool {
		status, _ := processes[0].send("/get/z", "next-0", 1)
		return status == http.StatusOK
	})
	must.SliceNotEmpty(t, a.arrivedIn(begin, time.Now()))
}
