package dispatch

import (
	"context"
	"errors"
	"time"

	"bramleystand.org/common/registry"
	"github.com/rotisserie/eris"
)

var (
	errShutdown = eris.New("dispatch: the process stops before the request could be served")
	errGivenUp  = eris.New("dispatch: the process ends before the server has answered")
)

// Shutdown holds the times until which a process that stops works on calls.
type Shutdown struct {
	// LastArrival is until when the balancer may send clients to the process.
	LastArrival time.Time
	// LastStart is until when requests are sent to servers; those that would not end until GiveUp are sent
	// earlier or not at all.
	LastStart time.Time
	// GiveUp is until when the process waits for the responses of servers.
	GiveUp time.Time
	// End is when the process ends.
	End time.Time
}

// LatestArrival returns until when a call with a deadline must arrive to be sent to a server. A call that arrives while
// the balancer still sends clients may be given up; what comes later must end by its own deadline before that, because
// another process can still serve it.
func (s Shutdown) LatestArrival(deadline time.Time) time.Time {
	if deadline.After(s.GiveUp) {
		return s.LastArrival
	}
	return s.LastStart
}

// Stop ends the waits of all calls for owners and slots at their last start; calls that have not been
// sent to a server by then are refused. Requests at a server go on until they are given up: their
// connections are reset, and because they may have run, they end with 504.
func (d *Dispatcher) Stop(s Shutdown) {
	d.shutdown.Store(&s)
	d.beginStop()
	time.AfterFunc(time.Until(s.GiveUp), func() { d.endRequests(errGivenUp) })
}

// lastStart returns until when a call may be sent to a server in a shutdown: so that the response of all but the slowest
// requests comes before the process gives up, and not at all if the call has arrived too late.
func (d *Dispatcher) lastStart(s *Shutdown, p *progress) time.Time {
	if p.arrived.After(s.LatestArrival(p.call.Deadline)) {
		return p.arrived
	}
	return earlier(s.LastStart, s.GiveUp.Add(-d.durations.expected(time.Now(), p.call)))
}

// withWaits returns a context for the waits of a call: it ends with the context of the call or at the
// last start of a shutdown.
func (d *Dispatcher) withWaits(ctx context.Context, p *progress) (context.Context, context.CancelFunc) {
	waitCtx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(d.stopping, func() {
		timer := time.NewTimer(time.Until(d.lastStart(d.shutdown.Load(), p)))
		defer timer.Stop()
		select {
		case <-timer.C:
			cancel(errShutdown)
		case <-waitCtx.Done():
		}
	})
	return waitCtx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// withRequest returns a context for a request to a server. It ends when a shutdown gives the request up,
// at the deadline of the call or with ctx. A request that must not run twice is not aborted when its
// client disconnects.
func (d *Dispatcher) withRequest(ctx context.Context, c *Call) (context.Context, context.CancelFunc) {
	if !c.Route.Kind.Retryable() {
		ctx = context.WithoutCancel(ctx)
	}
	bounded, cancelDeadline := context.WithDeadline(ctx, c.Deadline)
	requestCtx, cancel := context.WithCancelCause(bounded)
	stop := context.AfterFunc(d.requests, func() { cancel(errGivenUp) })
	return requestCtx, func() {
		stop()
		cancel(context.Canceled)
		cancelDeadline()
	}
}

// startRefused returns the result of a call that must not be sent to a server any more, or nil. It reads
// the clock, because the waits end in a goroutine that may run later than a call which has not waited.
func (d *Dispatcher) startRefused(waitCtx context.Context, p *progress) *Result {
	if waitCtx.Err() != nil {
		return d.contextDone(waitCtx, p)
	}
	if s := d.shutdown.Load(); s != nil && !time.Now().Before(d.lastStart(s, p)) {
		return p.finalResult(stoppingResult())
	}
	return nil
}

// stoppingResult returns the result of a call that a shutdown has prevented from being sent to a server.
func stoppingResult() *Result {
	return refusedResult(Stopping, time.Now().Add(refusalRetryDelay), errShutdown)
}

// slotRequest returns the request of a call for a slot. A response after the end of a shutdown has no
// value.
func (d *Dispatcher) slotRequest(c *Call, server registry.Server) SlotRequest {
	r := c.slotRequest(server)
	if s := d.shutdown.Load(); s != nil {
		r.Objective, r.Deadline = earlier(r.Objective, s.End), earlier(r.Deadline, s.End)
	}
	return r
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// isShutdown reports whether a context for waits has ended because of a shutdown.
func isShutdown(waitCtx context.Context) bool {
	return errors.Is(context.Cause(waitCtx), errShutdown)
}

// isGivenUp reports whether a context for a request to a server has ended because of a shutdown.
func isGivenUp(requestCtx context.Context) bool {
	return errors.Is(context.Cause(requestCtx), errGivenUp)
}
