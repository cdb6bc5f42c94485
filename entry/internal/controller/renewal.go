package controller

import (
	"slices"
	"time"

	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

// HandleRenew takes the reports of a leaseholder and extends its leases.
func (c *Controller) HandleRenew(now time.Time, q control.RenewRequest) control.RenewResponse {
	p := control.RenewResponse{Pair: c.pair, Term: c.highest, Controller: c.vote.candidate}
	if q.Pair != c.pair || c.role != controlling || !now.Before(c.authority(now)) {
		return p
	}
	h := c.holders[q.Member.Name]
	if h != nil && (h.member.Incarnation > q.Member.Incarnation || h.member.Same(q.Member) && h.sequence >= q.Sequence) {
		return p
	}
	if h == nil || !h.member.Same(q.Member) {
		h = &holder{member: q.Member}
		c.holders[q.Member.Name] = h
	}
	if h.resigning != q.Resigning {
		c.planDue = now
	}
	h.heard, h.sequence, h.resigning = now, q.Sequence, q.Resigning
	if c.tables.committed != nil {
		c.accept(q)
	}
	c.control(now)
	if c.tables.committed == nil || now.Before(c.grantFrom) || c.role != controlling {
		return p
	}
	return c.grant(now, q)
}

// accept notes what a leaseholder reports of its upstreams.
func (c *Controller) accept(q control.RenewRequest) {
	placements := c.tables.inForce
	for _, r := range q.Reports {
		p, ok := placements[r.Upstream]
		if !ok || p.Fence != r.Fence || !p.Leaseholder.Same(q.Member) {
			continue
		}
		u := c.upstreamOf(r.Upstream)
		if u.state != r.State || len(r.Released) > 0 {
			c.planDue = time.Time{}
		}
		u.state = r.State
		if len(r.Load) > 0 {
			u.loads = make(map[shard.Shard]float64, len(r.Load))
			for _, l := range r.Load {
				u.loads[l.Shard] = l.Load
			}
		}
		u.handover = slices.DeleteFunc(slices.Clone(u.handover), func(o control.Release) bool {
			return slices.ContainsFunc(r.Received, func(x control.Release) bool { return x.Shard == o.Shard && x.History == o.History })
		})
		if q.Applied.Term != c.term {
			continue
		}
		for _, o := range r.Released {
			if v := c.moves.moving[o.Shard]; v != nil && v.from == r.Upstream && v.told > 0 && v.told <= q.Applied.Sequence {
				v.reported, v.release = true, o
			}
		}
	}
}

// grant answers with all leases of a member.
func (c *Controller) grant(now time.Time, q control.RenewRequest) control.RenewResponse {
	remaining := min(control.LeaseTTL, c.authority(now).Sub(now))
	c.answers++
	p := control.RenewResponse{
		Pair: c.pair, Accepted: true, Term: c.term, Sequence: c.answers, Controller: c.self, Remaining: remaining,
	}
	expiry := now.Add(remaining + control.ClockMargin)
	c.granted = later(c.granted, expiry)
	reported := map[string]control.Report{}
	if q.Applied.Term == c.term {
		for _, r := range q.Reports {
			reported[r.Upstream] = r
		}
	}
	next := c.tables.proposed
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
				// The proposal takes shards away; it may be granted at once.
				l = n
			}
		}
		u := c.upstreamOf(l.Upstream)
		u.expiry = later(u.expiry, expiry)
		lease := control.Lease{
			Upstream: l.Upstream, Fence: l.Fence, Revision: l.Revision, Releasing: c.releasing(l, u), Handover: u.handover,
		}
		if r, ok := reported[l.Upstream]; ok && r.Fence == l.Fence && r.Revision == l.Revision {
			lease.Same = true
		} else {
			lease.Shards = l.Shards
		}
		p.Leases = append(p.Leases, lease)
	}
	return p
}

// releasing returns the shards that the leaseholder must release, and notes that it is told.
func (c *Controller) releasing(l control.Placement, u *upstream) []shard.Shard {
	var list []shard.Shard
	for _, s := range l.Shards {
		v := c.moves.moving[s]
		if v == nil && u.closing {
			v = &move{from: l.Upstream, to: l.Upstream}
			c.moves.moving[s] = v
		}
		if v == nil {
			continue
		}
		if v.told == 0 {
			v.told = c.answers
		}
		list = append(list, s)
	}
	return list
}
