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

// fakeLease allows all shards while held is set.
type fakeLease struct{ held bool }

func (f *fakeLease) FenceFor(time.Time, string, shard.Shard) (fence.Fence, bool) {
	return fence.New(1, 1), f.held
}

func (f *fakeLease) Deadline() time.Time { return time.Now().Add(time.Second) }

// fakeServer responds to each request with a function and counts the requests that it received.
type fakeServer struct {
	started atomic.Int64
	respond func(ctx context.Context) (*backend.Response, error)
}

func (f *fakeServer) Do(ctx context.Context, _ *backend.Request) (*backend.Response, error) {
	f.started.Add(1)
	return f.respond(ctx)
}

func okResponse(text string) (*backend.Response, error) {
	return &backend.Response{
		Status: http.StatusOK, Outcome: outcome.Ran, BodyLength: int64(len(text)),
		Header: http.Header{"Content-Type": {"text/x"}, "Bramley-Clock": {"1"}}, Body: io.NopCloser(strings.NewReader(text)),
	}, nil
}

var errConnectionReset = &backend.Error{Outcome: outcome.Unknown, Err: errors.New("connection reset")}

func breakConnection(context.Context) (*backend.Response, error) { return nil, errConnectionReset }

type noMonitor struct{}

func (noMonitor) RequestSent(time.Time, time.Time) uint64 { return 0 }
func (noMonitor) ResponseStarted(time.Time, uint64)       {}
func (noMonitor) ConnectionBroken(time.Time, uint64)      {}
func (noMonitor) ConnectionRefused(time.Time, uint64)     {}
func (noMonitor) ResponseFinished(uint64)                 {}

// fixture is an upstream with two slots, a fake lease and a fake server.
type fixture struct {
	*upstream.Upstream
	lease  *fakeLease
	server *fakeServer
}

func newFixture(t *testing.T, suspects *suspect.List, respond func(context.Context) (*backend.Response, error)) fixture {
	t.Helper()
	return newFixtureWithFencing(t, suspects, true, respond)
}

// newFixtureWithFencing returns a fixture whose server is fenced or not; newFixture uses a fenced one.
func newFixtureWithFencing(t *testing.T, suspects *suspect.List, fenced bool, respond func(context.Context) (*backend.Response, error)) fixture {
	t.Helper()
	f := fixture{lease: &fakeLease{held: true}, server: &fakeServer{respond: respond}}
	spec := configuration.Upstream{Name: "u", Slots: 2, Connections: 10, Fenced: fenced}
	f.Upstream = upstream.New("s", spec, f.lease, f.server, suspects, noMonitor{})
	f.ApplyPreset(configuration.DefaultPresets().Items[0])
	must.NoError(t, f.TakeOverLease(time.Now(), fence.New(1, 1), []shard.Shard{0}, nil))
	return f
}

// send handles a request with a deadline of one second by default, and returns the response and its body.
func (f fixture) send(t *testing.T, request exchange.Request) (*exchange.Response, string) {
	t.Helper()
	request.Service, request.Key = "s", "k"
	if request.Deadline.IsZero() {
		request.Deadline = time.Now().Add(time.Second)
	}
	ctx, cancel := context.WithDeadline(t.Context(), request.Deadline)
	defer cancel()
	response := f.Handle(ctx, &request)
	text, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	return response, string(text)
}

func (f fixture) issueTicket(t *testing.T) string {
	t.Helper()
	response, _ := f.send(t, exchange.Request{Rank: rank.Confirmation, TicketOnly: true})
	must.NotEq(t, "", response.Ticket)
	return response.Ticket
}

// Guards against a final action running twice when its client resends it while it is running or after it has run.
func TestRunsTicketOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unblock := make(chan struct{})
		f := newFixture(t, suspect.New(10), func(context.Context) (*backend.Response, error) {
			<-unblock
			return okResponse("confirmed")
		})
		request := exchange.Request{Rank: rank.Confirmation, Ticket: f.issueTicket(t)}
		texts := make(chan string, 2)
		for range 2 {
			go func() {
				_, text := f.send(t, request)
				texts <- text
			}()
		}
		synctest.Wait()
		close(unblock)
		must.Eq(t, "confirmed", <-texts)
		must.Eq(t, "confirmed", <-texts)
		response, text := f.send(t, request)
		must.Eq(t, outcome.Ran, response.Outcome)
		must.Eq(t, "confirmed", text)
		must.Eq(t, http.Header{"Content-Type": {"text/x"}}, response.Header)
		must.EqOp(t, 1, f.server.started.Load())
	})
}

// Guards against a final action with an unknown outcome being run again or reported as not run when it is resent.
func TestUnknownTicketStaysUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, suspect.New(10), breakConnection)
		request := exchange.Request{Rank: rank.Confirmation, Ticket: f.issueTicket(t)}
		first, _ := f.send(t, request)
		second, _ := f.send(t, request)
		must.Eq(t, outcome.Unknown, first.Outcome)
		must.Eq(t, outcome.Unknown, second.Outcome)
		must.EqOp(t, 1, f.server.started.Load())
	})
}

// Guards against a resend being reported as not run although the first attempt may have run. This could happen if the
// resend was refused, because of a condemned fingerprint or a full queue, before its ticket was checked.
func TestRefusedResendIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspects := suspect.New(10)
		f := newFixture(t, suspects, breakConnection)
		request := exchange.Request{Rank: rank.Confirmation, Ticket: f.issueTicket(t), Fingerprint: 7}
		f.send(t, request)
		suspects.ReportCrash(time.Now(), []suspect.Fingerprint{7})
		response, _ := f.send(t, request)
		must.Eq(t, outcome.Unknown, response.Outcome)
		request.Ticket = f.issueTicket(t)
		response, _ = f.send(t, request)
		must.Eq(t, outcome.NotRun, response.Outcome)
		must.Eq(t, http.StatusUnprocessableEntity, response.Status)
	})
}

// Guards against a final action with a ticket of an ended lease being run under the next lease.
func TestTicketOfEndedLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, suspect.New(10), func(context.Context) (*backend.Response, error) { return okResponse("x") })
		request := exchange.Request{Rank: rank.Confirmation, Ticket: f.issueTicket(t)}
		f.EndLease()
		must.NoError(t, f.TakeOverLease(time.Now(), fence.New(1, 2), []shard.Shard{0}, nil))
		f.lease.held = true
		response, _ := f.send(t, request)
		// The fake lease still returns the first fence, so nothing must be sent.
		must.True(t, response.Reroute)
		must.EqOp(t, 0, f.server.started.Load())
	})
}

// Guards against a request being sent under a lease that ended while the request waited for a slot.
func TestLeaseEndsInQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unblock := make(chan struct{})
		f := newFixture(t, suspect.New(10), func(context.Context) (*backend.Response, error) {
			<-unblock
			return okResponse("x")
		})
		responses := make(chan *exchange.Response, 3)
		for range 3 {
			go func() {
				response, _ := f.send(t, exchange.Request{Rank: rank.Lookup})
				responses <- response
			}()
		}
		synctest.Wait()
		f.lease.held = false
		f.CancelWaiting()
		waiting := <-responses
		must.True(t, waiting.Reroute)
		must.Eq(t, outcome.NotRun, waiting.Outcome)
		close(unblock)
		must.Eq(t, outcome.Ran, (<-responses).Outcome)
		must.Eq(t, outcome.Ran, (<-responses).Outcome)
		must.EqOp(t, 2, f.server.started.Load())
	})
}

// Guards against a shard being released while a request for it is running.
func TestReleaseWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unblock := make(chan struct{})
		f := newFixture(t, suspect.New(10), func(context.Context) (*backend.Response, error) {
			<-unblock
			return okResponse("x")
		})
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.send(t, exchange.Request{Rank: rank.Lookup})
		}()
		synctest.Wait()
		_, ok := f.Release(time.Now(), 0)
		must.False(t, ok)
		close(unblock)
		<-done
		_, ok = f.Release(time.Now(), 0)
		must.True(t, ok)
	})
}

// neverRespond blocks until the request is cancelled, like a frozen server.
func neverRespond(ctx context.Context) (*backend.Response, error) {
	<-ctx.Done()
	return nil, &backend.Error{Outcome: outcome.Unknown, Err: context.Cause(ctx)}
}

// Guards against the shards of a frozen server staying blocked until the deadlines of its requests, against
// its lookups being suspected of crashing it, and against the shards of an unfenced server being released while
// it may still be running a request.
func TestServerStopsAnswering(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			suspects := suspect.New(10)
			f := newFixtureWithFencing(t, suspects, fenced, neverRespond)
			done := make(chan *exchange.Response, 1)
			go func() {
				response, _ := f.send(t, exchange.Request{Rank: rank.Lookup, Fingerprint: 7})
				done <- response
			}()
			synctest.Wait()
			f.SetResponding(false)
			response := <-done
			must.Eq(t, outcome.Unknown, response.Outcome)
			must.False(t, response.ServerCrashed)
			must.Eq(t, suspect.Unrestricted, suspects.VerdictOf(time.Now(), 7))
			afterFailure, _ := f.send(t, exchange.Request{Rank: rank.Lookup})
			must.True(t, afterFailure.Reroute)
			must.EqOp(t, 1, f.server.started.Load())
			_, released := f.Release(time.Now(), 0)
			must.Eq(t, fenced, released)
			_, released = f.Release(time.Now().Add(time.Second), 0)
			must.True(t, released)
		})
	}
}

// Guards against the shards of an unfenced server staying blocked until the deadlines of its requests although its
// process has ended, and against them being released when it may only have closed a connection.
func TestUnfencedServerProcessEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureWithFencing(t, suspect.New(10), false, breakConnection)
		f.send(t, exchange.Request{Rank: rank.Lookup})
		_, released := f.Release(time.Now(), 0)
		must.False(t, released)
		f.ServerProcessEnded()
		_, released = f.Release(time.Now(), 0)
		must.True(t, released)
	})
}

// Guards against a request that crashes servers reaching a third one.
func TestCondemns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, suspect.New(10), breakConnection)
		statuses := []int{}
		for range 4 {
			response, _ := f.send(t, exchange.Request{Rank: rank.Lookup, Fingerprint: 7})
			statuses = append(statuses, response.Status)
		}
		must.Eq(t, []int{502, 502, 422, 422}, statuses)
		must.EqOp(t, 2, f.server.started.Load())
	})
}

// Guards against a request being condemned before it has run alone, because equal requests were in flight when their
// server crashed.
func TestEqualRequestsAreNotCondemned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unblock := make(chan struct{})
		f := newFixture(t, suspect.New(10), func(ctx context.Context) (*backend.Response, error) {
			<-unblock
			return breakConnection(ctx)
		})
		done := make(chan struct{}, 2)
		for range 2 {
			go func() {
				f.send(t, exchange.Request{Rank: rank.Lookup, Fingerprint: 7})
				done <- struct{}{}
			}()
		}
		synctest.Wait()
		close(unblock)
		<-done
		<-done
		f.server.respond = func(context.Context) (*backend.Response, error) { return okResponse("x") }
		response, _ := f.send(t, exchange.Request{Rank: rank.Lookup, Fingerprint: 7})
		must.Eq(t, outcome.Ran, response.Outcome)
	})
}
