package controller

import (
	"slices"
	"time"

	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

// HandleRenew processes the reports of a leaseholder and extends its leases. It refuses requests that are
// not newer than the latest handled one.
func (c *Controller) HandleRenew(now time.Time, q control.RenewRequest) control.RenewResponse {
	p := control.RenewResponse{Pair: c.pair, Term: c.highestTerm, Controller: c.promise.candidate}
	if q.Pair != c.pair || c.role != roleController || !now.Before(c.authority(now)) {
		return p
	}
	h := c.leaseholders[q.Member.Name]
	if h != nil && (h.member.Incarnation > q.Member.Incarnation || h.member.Same(q.Member) && h.sequence >= q.Sequence) {
		return p
	}
	if h == nil || !h.member.Same(q.Member) {
		h = &leaseholder{member: q.Member}
		c.leaseholders[q.Member.Name] = h
	}
	if h.resigning != q.Resigning {
		c.tableUpdateDue = now
	}
	h.lastHeard, h.sequence, h.resigning = now, q.Sequence, q.Resigning
	if c.tables.committed != nil {
		c.applyReports(q)
	}
	c.control(now)
	if c.tables.committed == nil || now.Before(c.grantFrom) || c.role != roleController {
		return p
	}
	return c.grantLeases(now, q)
}

// applyReports records what a leaseholder reports about its upstreams.
func (c *Controller) applyReports(q control.RenewRequest) {
	placements := c.tables.committedByUpstream
	for _, r := range q.Reports {
		p, ok := placements[r.Upstream]
		if !ok || p.Fence != r.Fence || !p.Leaseholder.Same(q.Member) {
			continue
		}
		u := c.upstreamOf(r.Upstream)
		if u.state != r.State || len(r.Released) > 0 {
			c.tableUpdateDue = time.Time{}
		}
		u.state = r.State
		if len(r.Load) > 0 {
			u.loads = make(map[shard.Shard]float64, len(r.Load))
			for _, l := range r.Load {
				u.loads[l.Shard] = l.Load
			}
		}
		u.handover = slices.DeleteFunc(slices.Clone(u.handover), func(o control.Release) bool {
			return slices.ContainsFunc(r.Received, func(x control.Release) bool { return x.Shard == o.Shard && x.ReleasedFence == o.ReleasedFence })
		})
		if q.AcceptedVersion.Term != c.term {
			continue
		}
		for _, o := range r.Released {
			if v := c.moves.pending[o.Shard]; v != nil && v.from == r.Upstream && v.releaseResponse > 0 && v.releaseResponse <= q.AcceptedVersion.Sequence {
				v.releaseReported, v.release = true, o
			}
		}
	}
}

// grantLeases returns a response with all leases of an entry VM.
func (c *Controller) grantLeases(now time.Time, q control.RenewRequest) control.RenewResponse {
	remaining := min(control.LeaseTTL, c.authority(now).Sub(now))
	c.responseSequence++
	p := control.RenewResponse{
		Pair: c.pair, Accepted: true, Term: c.term, Sequence: c.responseSequence, Controller: c.self, Remaining: remaining,
	}
	expiry := now.Add(remaining + control.ClockMargin)
	c.grantedExpiry = maxTime(c.grantedExpiry, expiry)
	reports := map[string]control.UpstreamReport{}
	if q.AcceptedVersion.Term == c.term {
		for _, r := range q.Reports {
			reports[r.Upstream] = r
		}
	}
	next := c.tables.proposedByUpstream
	for _, l := range c.tables.committed.Placements {
		if !l.Leaseholder.Same(q.Member) {
			continue
		}
		if next != nil {
			n, ok := next[l.Upstream]
			if !ok || n.Fence != l.Fence {
				continue
			}
			if len(n.Shards) < len(l.Shards) {
				// The proposal only takes shards away, so it may be granted before it is committed.
				l = n
			}
		}
		u := c.upstreamOf(l.Upstream)
		u.expiry = maxTime(u.expiry, expiry)
		lease := control.Lease{
			Upstream: l.Upstream, Fence: l.Fence, Revision: l.Revision, Releasing: c.shardsToRelease(l, u), Handovers: u.handover,
		}
		if r, ok := reports[l.Upstream]; ok && r.Fence == l.Fence && r.Revision == l.Revision {
			lease.Same = true
		} else {
			lease.Shards = l.Shards
		}
		p.Leases = append(p.Leases, lease)
	}
	return p
}

// shardsToRelease returns the shards that the leaseholder must release, and records the response that first tells it.
func (c *Controller) shardsToRelease(l control.Placement, u *upstreamState) []shard.Shard {
	var list []shard.Shard
	for _, s := range l.Shards {
		v := c.moves.pending[s]
		if v == nil && u.closing {
			v = &pendingMove{from: l.Upstream, to: l.Upstream}
			c.moves.pending[s] = v
		}
		if v == nil {
			continue
		}
		if v.releaseResponse == 0 {
			v.releaseResponse = c.responseSequence
		}
		list = append(list, s)
	}
	return list
}
