package cluster

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/entry/internal/coordinator"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/orderrelay"
	"bramleystand.org/platform"
)

const (
	// maxClockAge is how long a reading of another process's clock is used. A drift of 2% takes 20 ms of
	// the time in which an order must be sent.
	maxClockAge = time.Second
	// relayMargin is how much longer than the order itself the call of another process may take.
	relayMargin = 100 * time.Millisecond
)

var (
	errRelayLate    = eris.New("cluster: the other process has not sent the order in time")
	errRelayFailed  = eris.New("cluster: order failed at the other process")
	errUnknownClock = eris.New("cluster: the clock of the other process is not known")
)

// relayFor returns the process through which an order is sent, or false if this process sends it.
func (s *executor) relayFor(o coordinator.Order) (election.Member, bool) {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	m, ok := s.contact.relays[o.Server.Instance]
	return m, ok
}

// sendThrough sends an order through another process. Unless the result shows what became of a grant, it
// is returned when the other process can no longer send it.
func (s *executor) sendThrough(ctx context.Context, m election.Member, to platform.Recipient, o coordinator.Order) coordinator.Result {
	r := coordinator.Result{Number: o.Number}
	order := orderrelay.Order{To: to, Release: o.Release, Keys: o.Keys, Fence: uint64(o.Fence), Hold: holdOf(o), Handover: o.Handover, Timeout: grantTimeout}
	settled := o.SendBy.Add(grantTimeout)
	limit := settled.Add(relayMargin)
	if o.Release {
		order.Timeout = releaseTimeout
		limit = time.Now().Add(releaseTimeout + relayMargin)
	} else {
		reading, err := s.clockOf(ctx, m)
		if err == nil && (time.Now().After(o.SendBy) || !s.isActive()) {
			err = errOrderExpired
		}
		if err != nil {
			r.Err, r.Expired = err, true
			s.recordRelayFailure(m, o)
			return r
		}
		order.SendBefore = orderrelay.SendBefore(reading.Clock, reading.received, o.SendBy)
	}
	bounded, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	report, err := s.node.relays.Send(bounded, m.Address, order)
	received := time.Now()
	switch {
	case errors.Is(err, orderrelay.ErrNotReached):
		r.Err, r.Expired = err, true
	case err != nil:
		r.Err = err
		if !o.Release {
			waitUntil(ctx, settled)
		}
	default:
		s.node.mu.Lock()
		s.contact.recordClock(received, m.Name, report.Clock)
		s.node.mu.Unlock()
		applyReport(&r, report)
	}
	if r.Err != nil && !r.Fenced && !r.Misdirected {
		// The other process may be cut off from the server by now.
		s.recordRelayFailure(m, o)
	}
	return r
}

// clockOf returns a recent reading of another process's clock.
func (s *executor) clockOf(ctx context.Context, m election.Member) (clockReading, error) {
	s.node.mu.Lock()
	reading, ok := s.contact.clocks[m.Name]
	s.node.mu.Unlock()
	if ok && time.Since(reading.received) < maxClockAge {
		return reading, nil
	}
	answer, err := s.node.relays.Query(ctx, m.Address, orderrelay.Query{})
	if err != nil {
		return clockReading{}, fmt.Errorf("%w: %w", errUnknownClock, err)
	}
	reading = clockReading{Clock: answer.Clock, received: time.Now()}
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	s.contact.recordClock(reading.received, m.Name, reading.Clock)
	return reading, nil
}

// recordRelayFailure records that an order could not be sent through another process.
func (s *executor) recordRelayFailure(m election.Member, o coordinator.Order) {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	s.contact.relayFailed(time.Now(), o.Server.Instance, m.Name)
}

// applyReport sets the result of an order that another process has sent.
func applyReport(r *coordinator.Result, report orderrelay.Report) {
	r.Handover = report.Handover
	switch report.Outcome {
	case orderrelay.Executed:
	case orderrelay.Late:
		r.Err, r.Expired = errRelayLate, true
	default:
		r.Err = fmt.Errorf("%w: %s", errRelayFailed, report.Reason)
		r.Fenced = report.Outcome == orderrelay.Fenced
		r.Misdirected = report.Outcome == orderrelay.Misdirected
		r.Unsent = report.Outcome == orderrelay.NotSent
	}
}

// waitUntil waits until a time or the end of the context.
func waitUntil(ctx context.Context, t time.Time) {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
