package process

import (
	"context"
	"time"

	"bramleystand.org/entry/internal/lease"
)

const (
	// minUnhealthyTime is how long the health check fails before the listener closes, so
	// that the load balancer notices it.
	minUnhealthyTime = 500 * time.Millisecond
	// maxWaitPercent is the percentage of the stop timeout for which requests may wait for a leaseholder or
	// a slot. The rest is left for the responses of the backend servers.
	maxWaitPercent = 70
	// pollInterval is the time between two checks of a pollUntil condition.
	pollInterval = 20 * time.Millisecond
	// forwardedDrainDivisor divides the stop timeout; the quotient is the time limit for
	// requests that other entry VMs have forwarded.
	forwardedDrainDivisor = 4
)

// handOver hands over this process's leases and then its controller roles while it still
// serves requests. It uses at most half of the stop timeout. Requests for the keys
// concerned wait at the entry VMs that received them from clients.
func (p *Process) handOver(ctx context.Context) error {
	start := time.Now()
	deadlineCtx, cancel := context.WithDeadline(ctx, start.Add(p.settings.Stop/2))
	defer cancel()
	p.logger.Info("stopping")
	p.handler.Stop()
	time.AfterFunc(time.Until(start.Add(p.settings.Stop*maxWaitPercent/100)), p.endWaits)
	p.directory.Announce(start, true)
	for _, c := range p.pairRegistry.all() {
		c.HandOverLeases(start)
	}
	if !pollUntil(deadlineCtx, func() bool { return p.leaseCount() == 0 || p.allOthersLeaving(time.Now()) }) {
		p.logger.WithField("leases", p.leaseCount()).Warn("handing over the leases did not finish before the deadline")
	}
	for _, c := range p.pairRegistry.all() {
		c.Resign(p.backgroundCtx, time.Now())
	}
	// Wait until this process is replaced as a succession member. If it were replaced only
	// after it has stopped, it could not acknowledge the change, and two members that leave
	// together would cost the pair its majority.
	if !pollUntil(deadlineCtx, func() bool { return p.membershipCount() == 0 || p.allOthersLeaving(time.Now()) }) {
		p.logger.WithField("pairs", p.membershipCount()).Warn("still a succession member at the deadline")
	}
	pollUntil(deadlineCtx, func() bool { return time.Since(start) >= minUnhealthyTime })
	return nil
}

// endWaits refuses the requests that still wait for a leaseholder or a slot. They would otherwise wait until
// their own deadlines, which may lie after the end of the process.
func (p *Process) endWaits() {
	p.router.Stop()
	for _, r := range p.localHandler.allRunners() {
		r.upstream.CancelWaiting()
	}
}

// allOthersLeaving reports whether all other entry processes are stopping too. A member
// reported as silent counts as running, because it may still need this process's
// acknowledgement.
func (p *Process) allOthersLeaving(now time.Time) bool {
	for _, a := range p.directory.Members(now) {
		if !a.Leaving && !a.Member.Same(p.self) {
			return false
		}
	}
	return true
}

// leaseCount returns the number of upstreams whose lease this process holds.
func (p *Process) leaseCount() int {
	n := 0
	for id, c := range p.pairRegistry.all() {
		if id.DataCentre == p.self.DataCentre {
			c.Holder(func(h *lease.Holder) { n += len(h.Upstreams()) })
		}
	}
	return n
}

// membershipCount returns the number of pairs of which this process is a succession member.
func (p *Process) membershipCount() int {
	n := 0
	for _, c := range p.pairRegistry.all() {
		if c.IsMember() {
			n++
		}
	}
	return n
}

// drainForwarded waits for the requests that other entry VMs have forwarded, for at most
// a quarter of the stop timeout.
func (p *Process) drainForwarded() {
	deadlineCtx, cancel := context.WithDeadline(context.Background(), time.Now().Add(p.settings.Stop/forwardedDrainDivisor))
	defer cancel()
	if !pollUntil(deadlineCtx, func() bool { return p.localHandler.inFlight.Load() == 0 }) {
		p.logger.WithField("requests", p.localHandler.inFlight.Load()).Warn("requests still running at the deadline")
	}
}

// pollUntil checks a condition every pollInterval. It returns true once the condition
// holds, or false if the context ends first.
func pollUntil(ctx context.Context, condition func() bool) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}
