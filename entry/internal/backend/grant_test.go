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

// stamped returns an answer with a clock reading.
func stamped(status string, incarnation int, clock time.Duration) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nBramley-Clock: %d\r\nBramley-Incarnation: %d\r\nContent-Length: 0\r\n\r\n",
		status, clock, incarnation)
}

// granted is the outcome of a Grant.
type granted struct {
	held time.Time
	err  error
}

func grant(t *testing.T, c *backend.Client, deadline time.Time) chan granted {
	done := make(chan granted, 1)
	go func() {
		held, err := c.Grant(t.Context(), 7, 2, []shard.Shard{3}, deadline)
		done <- granted{held, err}
	}()
	return done
}

// until reads a grant and returns its end on the server's clock and its incarnation.
func (p *peer) until(t *testing.T) (time.Duration, int) {
	t.Helper()
	r, body := p.request(t)
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

// Guards against a grant that outlives the lease because an answer with the clock took long.
func TestGrantClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, p := newClient(t, 4)
		deadline := time.Now().Add(time.Second)
		done := grant(t, client, deadline)
		probe := <-p.servers
		r, _ := probe.request(t)
		must.Eq(t, "/probe", r.RequestURI)
		time.Sleep(100 * time.Millisecond) // The server read its clock, then its answer was delayed.
		probe.answer(t, stamped("200 OK", 1, time.Hour))
		s := <-p.servers
		until, incarnation := s.until(t)
		must.Eq(t, 1, incarnation)
		must.Eq(t, time.Hour+900*time.Millisecond, until)
		s.answer(t, stamped("200 OK", 1, time.Hour+100*time.Millisecond))
		got := <-done
		must.NoError(t, got.err)
		must.Eq(t, deadline, got.held)

		// The better reading of the last answer is used on the same connection.
		done = grant(t, client, deadline)
		until, _ = s.until(t)
		must.Eq(t, time.Hour+time.Second, until)
		s.Close()
		got = <-done
		must.Eq(t, outcome.Unknown, backend.OutcomeOf(got.err))
	})
}

// Guards against a server that holds a grant longer than its leaseholder knows.
func TestGrantUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, p := newClient(t, 4)
		deadline := time.Now().Add(time.Second)
		done := grant(t, client, deadline)
		probe := <-p.servers
		probe.request(t)
		probe.answer(t, stamped("200 OK", 1, time.Hour))
		s := <-p.servers
		s.until(t)
		s.Close()
		got := <-done
		must.Eq(t, outcome.Unknown, backend.OutcomeOf(got.err))
		must.Eq(t, deadline, got.held)

		done = grant(t, client, deadline.Add(time.Minute))
		s = <-p.servers
		s.until(t)
		s.answer(t, "HTTP/1.1 409 Conflict\r\nBramley-Outcome: not-run\r\nContent-Length: 22\r\n\r\n{\"refused\":\"outdated\"}")
		got = <-done
		must.ErrorIs(t, got.err, backend.ErrRefused)
		must.ErrorContains(t, got.err, "outdated")
		must.Eq(t, outcome.NotRun, backend.OutcomeOf(got.err))
		must.Eq(t, deadline, got.held)
	})
}

// Guards against a grant for a restarted server that is computed from the clock of the earlier process.
func TestGrantRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, p := newClient(t, 4)
		done := grant(t, client, time.Now().Add(time.Second))
		probe := <-p.servers
		probe.request(t)
		probe.answer(t, stamped("200 OK", 1, time.Hour))
		s := <-p.servers
		s.until(t)
		s.answer(t, stamped("409 Conflict\r\nBramley-Outcome: not-run", 2, time.Minute))
		until, incarnation := s.until(t)
		must.Eq(t, 2, incarnation)
		must.Eq(t, time.Minute+time.Second, until)
		s.answer(t, stamped("200 OK", 2, time.Minute))
		must.NoError(t, (<-done).err)
	})
}
