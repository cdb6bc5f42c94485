package upstream_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/fence"
	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/backend"
	"bramleystand.org/entry/internal/exchange"
	"bramleystand.org/entry/internal/suspect"
	"bramleystand.org/entry/internal/upstream"
)

// fakeLease allows every shard while it is held.
type fakeLease struct{ held bool }

func (f *fakeLease) Allowed(time.Time, string, shard.Shard) (fence.Fence, bool) {
	return fence.New(1, 1), f.held
}

func (f *fakeLease) Deadline() time.Time { return time.Now().Add(time.Second) }

// fakeServer answers each request with a function and counts the requests that it started.
type fakeServer struct {
	started atomic.Int64
	run     func(ctx context.Context) (*backend.Response, error)
}

func (f *fakeServer) Do(ctx context.Context, _ *backend.Request) (*backend.Response, error) {
	f.started.Add(1)
	return f.run(ctx)
}

func answer(text string) (*backend.Response, error) {
	return &backend.Response{
		Status: http.StatusOK, Outcome: outcome.Ran, Length: int64(len(text)),
		Header: http.Header{"Content-Type": {"text/x"}, "Bramley-Clock": {"1"}}, Body: io.NopCloser(strings.NewReader(text)),
	}, nil
}

var errBroke = &backend.Error{Outcome: outcome.Unknown, Err: errors.New("connection reset")}

func broke(context.Context) (*backend.Response, error) { return nil, errBroke }

type noMonitor struct{}

func (noMonitor) Sent(time.Time, time.Time) uint64 { return 0 }
func (noMonitor) Answered(time.Time, uint64)       {}
func (noMonitor) Broken(time.Time, uint64)         {}
func (noMonitor) Refused(time.Time, uint64)        {}
func (noMonitor) Finished(uint64)                  {}

// rig is an upstream with one slot and fakes around it.
type rig struct {
	*upstream.Upstream
	lease  *fakeLease
	server *fakeServer
}

func newRig(t *testing.T, suspects *suspect.List, run func(context.Context) (*backend.Response, error)) rig {
	t.Helper()
	return newRigAt(t, suspects, true, run)
}

func newRigAt(t *testing.T, suspects *suspect.List, fenced bool, run func(context.Context) (*backend.Response, error)) rig {
	t.Helper()
	r := rig{lease: &fakeLease{held: true}, server: &fakeServer{run: run}}
	spec := configuration.Upstream{Name: "u", Slots: 2, Connections: 10, Fenced: fenced}
	r.Upstream = upstream.New("s", spec, r.lease, r.server, suspects, noMonitor{})
	r.Limits(configuration.DefaultPresets().All[0])
	must.NoError(t, r.Adopt(time.Now(), fence.New(1, 1), []shard.Shard{0}, nil))
	return r
}

func (r rig) do(t *testing.T, request exchange.Request) (*exchange.Response, string) {
	t.Helper()
	request.Service, request.Key = "s", "k"
	if request.Deadline.IsZero() {
		request.Deadline = time.Now().Add(time.Second)
	}
	ctx, cancel := context.WithDeadline(t.Context(), request.Deadline)
	defer cancel()
	response := r.Handle(ctx, &request)
	text, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	return response, string(text)
}

func (r rig) ticket(t *testing.T) string {
	t.Helper()
	response, _ := r.do(t, exchange.Request{Rank: rank.Confirmation, TicketOnly: true})
	must.NotEq(t, "", response.Ticket)
	return response.Ticket
}

// Guards against a final action that runs again when its caller resends it, also while it still runs.
func TestRunsTicketOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := make(chan struct{})
		r := newRig(t, suspect.New(10), func(context.Context) (*backend.Response, error) {
			<-gate
			return answer("confirmed")
		})
		request := exchange.Request{Rank: rank.Confirmation, Ticket: r.ticket(t)}
		texts := make(chan string, 2)
		for range 2 {
			go func() {
				_, text := r.do(t, request)
				texts <- text
			}()
		}
		synctest.Wait()
		close(gate)
		must.Eq(t, "confirmed", <-texts)
		must.Eq(t, "confirmed", <-texts)
		response, text := r.do(t, request)
		must.Eq(t, outcome.Ran, response.Outcome)
		must.Eq(t, "confirmed", text)
		must.Eq(t, http.Header{"Content-Type": {"text/x"}}, response.Header)
		must.EqOp(t, 1, r.server.started.Load())
	})
}

// Guards against a second run after an unknown outcome, and against a promise that the first did not run.
func TestUnknownTicketStaysUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, suspect.New(10), broke)
		request := exchange.Request{Rank: rank.Confirmation, Ticket: r.ticket(t)}
		first, _ := r.do(t, request)
		second, _ := r.do(t, request)
		must.Eq(t, outcome.Unknown, first.Outcome)
		must.Eq(t, outcome.Unknown, second.Outcome)
		must.EqOp(t, 1, r.server.started.Load())
	})
}

// Guards against a resend being refused as not run, by a condemned fingerprint or a full queue, although
// the first attempt may have run.
func TestRefusedResendIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspects := suspect.New(10)
		r := newRig(t, suspects, broke)
		request := exchange.Request{Rank: rank.Confirmation, Ticket: r.ticket(t), Fingerprint: 7}
		r.do(t, request)
		suspects.Crash(time.Now(), []suspect.Fingerprint{7})
		response, _ := r.do(t, request)
		must.Eq(t, outcome.Unknown, response.Outcome)
		request.Ticket = r.ticket(t)
		response, _ = r.do(t, request)
		must.Eq(t, outcome.NotRun, response.Outcome)
		must.Eq(t, http.StatusUnprocessableEntity, response.Status)
	})
}

// Guards against a ticket of a lost lease being run under the next lease.
func TestTicketOfFormerLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, suspect.New(10), func(context.Context) (*backend.Response, error) { return answer("x") })
		request := exchange.Request{Rank: rank.Confirmation, Ticket: r.ticket(t)}
		r.Drop()
		must.NoError(t, r.Adopt(time.Now(), fence.New(1, 2), []shard.Shard{0}, nil))
		r.lease.held = true
		response, _ := r.do(t, request)
		// The fake lease still names the first fence, so that nothing may be sent at all.
		must.True(t, response.Moved)
		must.EqOp(t, 0, r.server.started.Load())
	})
}

// Guards against sending under a lease that ended while the request waited for a slot.
func TestLeaseEndsInQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := make(chan struct{})
		r := newRig(t, suspect.New(10), func(context.Context) (*backend.Response, error) {
			<-gate
			return answer("x")
		})
		outcomes := make(chan *exchange.Response, 3)
		for range 3 {
			go func() {
				response, _ := r.do(t, exchange.Request{Rank: rank.Lookup})
				outcomes <- response
			}()
		}
		synctest.Wait()
		r.lease.held = false
		r.Bounce()
		waiting := <-outcomes
		must.True(t, waiting.Moved)
		must.Eq(t, outcome.NotRun, waiting.Outcome)
		close(gate)
		must.Eq(t, outcome.Ran, (<-outcomes).Outcome)
		must.Eq(t, outcome.Ran, (<-outcomes).Outcome)
		must.EqOp(t, 2, r.server.started.Load())
	})
}

// Guards against a shard being released while a request for it runs.
func TestReleaseWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := make(chan struct{})
		r := newRig(t, suspect.New(10), func(context.Context) (*backend.Response, error) {
			<-gate
			return answer("x")
		})
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.do(t, exchange.Request{Rank: rank.Lookup})
		}()
		synctest.Wait()
		_, ok := r.Release(time.Now(), 0)
		must.False(t, ok)
		close(gate)
		<-done
		_, ok = r.Release(time.Now(), 0)
		must.True(t, ok)
	})
}

// frozen never answers.
func frozen(ctx context.Context) (*backend.Response, error) {
	<-ctx.Done()
	return nil, &backend.Error{Outcome: outcome.Unknown, Err: context.Cause(ctx)}
}

// Guards against the shards of a frozen server being held until the deadlines of its requests, against
// its lookups being condemned, and against an unfenced server being replaced while it may run a request.
func TestServerStopsAnswering(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			suspects := suspect.New(10)
			r := newRigAt(t, suspects, fenced, frozen)
			done := make(chan *exchange.Response, 1)
			go func() {
				response, _ := r.do(t, exchange.Request{Rank: rank.Lookup, Fingerprint: 7})
				done <- response
			}()
			synctest.Wait()
			r.Serve(false)
			response := <-done
			must.Eq(t, outcome.Unknown, response.Outcome)
			must.False(t, response.Crashed)
			must.Eq(t, suspect.Clear, suspects.Check(time.Now(), 7))
			late, _ := r.do(t, exchange.Request{Rank: rank.Lookup})
			must.True(t, late.Moved)
			must.EqOp(t, 1, r.server.started.Load())
			_, released := r.Release(time.Now(), 0)
			must.Eq(t, fenced, released)
			_, released = r.Release(time.Now().Add(time.Second), 0)
			must.True(t, released)
		})
	}
}

// Guards against the shards of an unfenced server whose process has ended being held until the deadlines of
// its requests, and against them being released while it may only have closed a connection.
func TestUnfencedServerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRigAt(t, suspect.New(10), false, broke)
		r.do(t, exchange.Request{Rank: rank.Lookup})
		_, released := r.Release(time.Now(), 0)
		must.False(t, released)
		r.Gone()
		_, released = r.Release(time.Now(), 0)
		must.True(t, released)
	})
}

// Guards against a request that breaks servers reaching a third one.
func TestCondemns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, suspect.New(10), broke)
		statuses := []int{}
		for range 4 {
			response, _ := r.do(t, exchange.Request{Rank: rank.Lookup, Fingerprint: 7})
			statuses = append(statuses, response.Status)
		}
		must.Eq(t, []int{502, 502, 422, 422}, statuses)
		must.EqOp(t, 2, r.server.started.Load())
	})
}

// Guards against equal requests that were in flight at a lost server being condemned without having run alone.
func TestEqualRequestsAreNotCondemned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := make(chan struct{})
		r := newRig(t, suspect.New(10), func(ctx context.Context) (*backend.Response, error) {
			<-gate
			return broke(ctx)
		})
		done := make(chan struct{}, 2)
		for range 2 {
			go func() {
				r.do(t, exchange.Request{Rank: rank.Lookup, Fingerprint: 7})
				done <- struct{}{}
			}()
		}
		synctest.Wait()
		close(gate)
		<-done
		<-done
		r.server.run = func(context.Context) (*backend.Response, error) { return answer("x") }
		response, _ := r.do(t, exchange.Request{Rank: rank.Lookup, Fingerprint: 7})
		must.Eq(t, outcome.Ran, response.Outcome)
	})
}
