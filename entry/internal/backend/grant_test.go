package backend_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/backend"
)

// responseWithClock returns a raw response with a reading of the server's clock.
func responseWithClock(status string, incarnation int, clock time.Duration) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nBramley-Clock: %d\r\nBramley-Incarnation: %d\r\nContent-Length: 0\r\n\r\n",
		status, clock, incarnation)
}

// grantResult is what Grant returned.
type grantResult struct {
	heldUntil time.Time
	err       error
}

// startGrant calls Grant in the background.
func startGrant(t *testing.T, c *backend.Client, deadline time.Time) chan grantResult {
	done := make(chan grantResult, 1)
	go func() {
		heldUntil, err := c.Grant(t.Context(), 7, 2, []shard.Shard{3}, deadline)
		done <- grantResult{heldUntil, err}
	}()
	return done
}

// readGrant reads a grant request and returns its end on the server's clock and its incarnation.
func (s *serverConn) readGrant(t *testing.T) (time.Duration, int) {
	t.Helper()
	r, body := s.readRequest(t)
	must.Eq(t, "PUT /grant", r.Method+" "+r.RequestURI)
	var n struct {
		Until                        time.Duration
		Incarnation, Fence, Revision int
		Shards                       []int
	}
	must.NoError(t, json.Unmarshal([]byte(body), &n))
	must.Eq(t, 7, n.Fence)
	must.Eq(t, 2, n.Revision)
	must.Eq(t, []int{3}, n.Shards)
	return n.Until, n.Incarnation
}

// Guards against a grant that outlives the lease because the response with the clock reading
// was delayed, which makes the reading lag behind the server's clock.
func TestGrantClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, dialer := newClient(t, 4)
		deadline := time.Now().Add(time.Second)
		done := startGrant(t, client, deadline)
		probe := <-dialer.accepted
		r, _ := probe.readRequest(t)
		must.Eq(t, "/probe", r.RequestURI)
		time.Sleep(100 * time.Millisecond) // The server has read its clock, but its response is delayed.
		probe.writeResponse(t, responseWithClock("200 OK", 1, time.Hour))
		server := <-dialer.accepted
		until, incarnation := server.readGrant(t)
		must.Eq(t, 1, incarnation)
		must.Eq(t, time.Hour+900*time.Millisecond, until)
		server.writeResponse(t, responseWithClock("200 OK", 1, time.Hour+100*time.Millisecond))
		got := <-done
		must.NoError(t, got.err)
		must.Eq(t, deadline, got.heldUntil)

		// The next grant uses the better reading of the last response.
		done = startGrant(t, client, deadline)
		until, _ = server.readGrant(t)
		must.Eq(t, time.Hour+time.Second, until)
		server.Close()
		got = <-done
		must.Eq(t, outcome.Unknown, backend.OutcomeOf(got.err))
	})
}

// Guards against a server that holds a grant for longer than its leaseholder knows. A grant
// without a response may have been accepted, a refused one was not.
func TestGrantUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, dialer := newClient(t, 4)
		deadline := time.Now().Add(time.Second)
		done := startGrant(t, client, deadline)
		probe := <-dialer.accepted
		probe.readRequest(t)
		probe.writeResponse(t, responseWithClock("200 OK", 1, time.Hour))
		server := <-dialer.accepted
		server.readGrant(t)
		server.Close()
		got := <-done
		must.Eq(t, outcome.Unknown, backend.OutcomeOf(got.err))
		must.Eq(t, deadline, got.heldUntil)

		done = startGrant(t, client, deadline.Add(time.Minute))
		server = <-dialer.accepted
		server.readGrant(t)
		server.writeResponse(t, "HTTP/1.1 409 Conflict\r\nBramley-Outcome: not-run\r\nContent-Length: 22\r\n\r\n{\"refused\":\"outdated\"}")
		got = <-done
		must.ErrorIs(t, got.err, backend.ErrRefused)
		must.ErrorContains(t, got.err, "outdated")
		must.Eq(t, outcome.NotRun, backend.OutcomeOf(got.err))
		must.Eq(t, deadline, got.heldUntil)
	})
}

// Guards against a grant to a restarted server whose end is computed from the clock of the
// previous process.
func TestGrantRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, dialer := newClient(t, 4)
		done := startGrant(t, client, time.Now().Add(time.Second))
		probe := <-dialer.accepted
		probe.readRequest(t)
		probe.writeResponse(t, responseWithClock("200 OK", 1, time.Hour))
		server := <-dialer.accepted
		server.readGrant(t)
		server.writeResponse(t, responseWithClock("409 Conflict\r\nBramley-Outcome: not-run", 2, time.Minute))
		until, incarnation := server.readGrant(t)
		must.Eq(t, 2, incarnation)
		must.Eq(t, time.Minute+time.Second, until)
		server.writeResponse(t, responseWithClock("200 OK", 2, time.Minute))
		must.NoError(t, (<-done).err)
	})
}
