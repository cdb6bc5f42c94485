package process

import (
	"context"
	"time"

	"bramleystand.org/entry/internal/lease"
)

const (
	// noticeTime is how long the health check fails before the listener closes, so
	// that the balancer has seen it.
	noticeTime = 500 * time.Millisecond
	// checkInterval is the time between two looks at what is still held.
	checkInterval = 20 * time.Millisecond
	// peerReserve is the part of the stop time that is kept for requests of other entry VMs.
	peerReserve = 4
)

// depart hands over what this process holds while it still serves: first the
// leases, then control. Requests for the keys concerned wait at the entry VMs that
// have their callers.
func (p *Process) depart(ctx context.Context) error {
	start := time.Now()
	bounded, cancel := context.WithDeadline(ctx, start.Add(p.settings.Stop/2))
	defer cancel()
	p.logger.Info("stopping")
	p.handler.Stop()
	p.directory.Announce(start, true)
	for _, c := range p.controls.all() {
		c.Leave(start)
	}
	if !waitFor(bounded, func() bool { return p.leases() == 0 || p.alone(time.Now()) }) {
		p.logger.WithField("leases", p.leases()).Warn("leases not handed over before the deadline")
	}
	for _, c := range p.controls.all() {
		c.Resign(p.background, time.Now())
	}
	// A member that is only replaced once it is gone can't acknowledge the change,
	// and two members that leave together would cost the pair its majority.
	if !waitFor(bounded, func() bool { return p.memberships() == 0 || p.alone(time.Now()) }) {
		p.logger.WithField("pairs", p.memberships()).Warn("still a succession member at the deadline")
	}
	waitFor(bounded, func() bool { return time.Since(start) >= noticeTime })
	return nil
}

// alone reports whether all other entry processes are about to stop too. One that
// seems silent may still need this process's acknowledgement.
func (p *Process) alone(now time.Time) bool {
	for _, a := range p.directory.Members(now) {
		if !a.Leaving && !a.Member.Same(p.self) {
			return false
		}
	}
	return true
}

// leases counts the upstreams under lease.
func (p *Process) leases() int {
	n := 0
	for id, c := range p.controls.all() {
		if id.DataCentre == p.self.DataCentre {
			c.Holder(func(h *lease.Holder) { n += len(h.Upstreams()) })
		}
	}
	return n
}

// memberships counts the pairs of which this process is a succession member.
func (p *Process) memberships() int {
	n := 0
	for _, c := range p.controls.all() {
		if c.IsMember() {
			n++
		}
	}
	return n
}

// drainPeers waits for the requests that other entry VMs have forwarded.
func (p *Process) drainPeers() {
	bounded, cancel := context.WithDeadline(context.Background(), time.Now().Add(p.settings.Stop/peerReserve))
	defer cancel()
	if !waitFor(bounded, func() bool { return p.local.running.Load() == 0 }) {
		p.logger.WithField("requests", p.local.running.Load()).Warn("requests still running at the deadline")
	}
}

// waitFor checks a condition until it holds or the context ends.
func waitFor(ctx context.Context, done func() bool) bool {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}
