// Package lease is the leaseholder's side of leases: which shards an entry VM may
// send to which backend server, and until when.
//
// A Holder is a state machine without I/O, goroutines or clock; there is one for
// each pair that the entry VM serves. It asks the pair's controller to renew its
// leases, counts them from the time of asking, and reports shards as released
// once neither a request nor a grant at the backend server can use them.
//
// # Usage
//
//	h := lease.New(pair, self)
//	h.Follow(succession)
//	for _, r := range h.Renew(now) {
//		response := send(r.To, r.Request)
//		h.Answered(time.Now(), now, response)
//	}
//	if f, ok := h.Allowed(time.Now(), upstream, s); ok {
//		// Send the request with fence f.
//	}
package lease

import (
	"slices"
	"time"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

const (
	// rateMargin is the fraction of a lease that is given up because clocks run at different rates.
	rateMargin = 100
	// searchTime is how long a controller may be silent before all members are asked.
	searchTime = 2 * control.RenewInterval
	// readingAge is how old a clock reading may be on which a grant is based. A server that
	// stops answering thereby gets no more grants, so that its shards are free a lease time later.
	readingAge = 2 * control.RenewInterval
)

// Holder holds the leases of one entry VM for one pair.
type Holder struct {
	pair       control.Pair
	self       control.Member
	succession control.Succession
	controller control.Member
	// hint is the term in which controller was named.
	hint     uint32
	heard    time.Time
	next     time.Time
	sequence uint64
	applied  control.Version
	// deadline is when all leases end.
	deadline  time.Time
	resigning bool
	upstreams map[string]*held
	// grants numbers the grants to all backend servers.
	grants uint32
}

// New returns a Holder without leases.
func New(pair control.Pair, self control.Member) *Holder {
	return &Holder{pair: pair, self: self, upstreams: map[string]*held{}}
}

// Follow takes the succession record, whose members are asked for leases.
func (h *Holder) Follow(s control.Succession) {
	if s.Version <= h.succession.Version {
		return
	}
	h.succession = s
	if len(s.Members) > 0 && s.Term >= h.hint {
		h.hint = s.Term
		h.controller = s.Members[0]
	}
}

// Resign asks the controller, from the next renewal on, to give all leases to others.
func (h *Holder) Resign(now time.Time) {
	h.resigning = true
	h.next = now
}

// Next returns when Renew is due.
func (h *Holder) Next() time.Time {
	return h.next
}

// Renew returns the requests to send now: one to the controller, or one to each member while it is silent.
func (h *Holder) Renew(now time.Time) []Renewal {
	h.schedule(now)
	var to []control.Member
	if h.controller.Name != "" {
		to = append(to, h.controller)
	}
	if !now.Before(h.heard.Add(searchTime)) {
		for _, m := range slices.Concat(h.succession.Members, h.succession.Former) {
			if !slices.ContainsFunc(to, m.Same) {
				to = append(to, m)
			}
		}
	}
	reports := h.reports(now)
	renewals := make([]Renewal, len(to))
	for i, m := range to {
		h.sequence++
		renewals[i] = Renewal{To: m, Request: control.RenewRequest{
			Pair: h.pair, Member: h.self, Sequence: h.sequence, Applied: h.applied, Reports: reports, Resigning: h.resigning,
		}}
	}
	return renewals
}

// schedule sets the next renewal, earlier if a shard becomes released by the end of a grant.
func (h *Holder) schedule(now time.Time) {
	h.next = now.Add(control.RenewInterval)
	for _, u := range h.upstreams {
		for _, s := range u.releasing {
			if state := u.shards[s]; state.idle && state.until.After(now) && state.until.Before(h.next) {
				h.next = state.until
			}
		}
	}
}

func (h *Holder) reports(now time.Time) []control.Report {
	names := make([]string, 0, len(h.upstreams))
	for name := range h.upstreams {
		names = append(names, name)
	}
	slices.Sort(names)
	reports := make([]control.Report, len(names))
	for i, name := range names {
		reports[i] = h.upstreams[name].report(now, name)
	}
	return reports
}

// Answered takes the answer to a request that was sent at the given time. Answers
// that are older than one already accepted change nothing.
func (h *Holder) Answered(now, sent time.Time, p control.RenewResponse) {
	if p.Pair != h.pair {
		return
	}
	if !p.Accepted {
		if p.Term > h.hint && p.Controller.Name != "" {
			h.hint, h.controller = p.Term, p.Controller
		}
		return
	}
	v := control.Version{Term: p.Term, Sequence: p.Sequence}
	if !v.Newer(h.applied) || !h.complete(p) {
		return
	}
	h.applied = v
	h.hint, h.controller = p.Term, p.Controller
	h.heard = now
	h.deadline = sent.Add(p.Remaining - p.Remaining/rateMargin)
	h.apply(p.Leases)
	for _, u := range h.upstreams {
		if !sent.Before(u.loadsAt) {
			u.loads = nil
		}
	}
}

// complete reports whether all shards of the leases are known.
func (h *Holder) complete(p control.RenewResponse) bool {
	for _, l := range p.Leases {
		u := h.upstreams[l.Upstream]
		if l.Same && (u == nil || u.fence != l.Fence || u.revision != l.Revision) {
			return false
		}
	}
	return true
}

func (h *Holder) apply(leases []control.Lease) {
	former := h.upstreams
	h.upstreams = make(map[string]*held, len(leases))
	for _, l := range leases {
		u := former[l.Upstream]
		if u == nil || u.fence != l.Fence {
			u = newHeld(l.Fence)
		}
		u.apply(l)
		h.upstreams[l.Upstream] = u
	}
}

// Deadline returns when the leases end unless they are renewed.
func (h *Holder) Deadline() time.Time {
	return h.deadline
}

// Upstreams returns the names of the upstreams under lease in ascending order.
func (h *Holder) Upstreams() []string {
	var names []string
	for name := range h.upstreams {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Allowed reports whether a request for the shard may be sent to the upstream now, and the fence to send with it.
func (h *Holder) Allowed(now time.Time, upstream string, s shard.Shard) (fence.Fence, bool) {
	u := h.upstreams[upstream]
	if u == nil || !now.Before(h.deadline) {
		return 0, false
	}
	state, ok := u.shards[s]
	return u.fence, ok && !state.releasing
}

// Releasing returns the shards that must be released and for which Idle hasn't been called.
func (h *Holder) Releasing(upstream string) []shard.Shard {
	u := h.upstreams[upstream]
	if u == nil {
		return nil
	}
	var list []shard.Shard
	for _, s := range u.releasing {
		if !u.shards[s].idle {
			list = append(list, s)
		}
	}
	return list
}

// Idle says that no request for a releasing shard is running or can still start, and passes on its records.
func (h *Holder) Idle(now time.Time, upstream string, r control.Release) {
	u := h.upstreams[upstream]
	if u == nil {
		return
	}
	state, ok := u.shards[r.Shard]
	if !ok || !state.releasing || state.idle {
		return
	}
	state.idle = true
	state.release = r
	state.barredBy = h.grants + 1
	state.until = u.grantedUntil
	u.grant = 0
	if state.released(now, u.accepted) {
		h.next = now
	}
}

// Grant returns the grant for a fenced backend server whose clock showed the
// reading in an answer that was received at the given time. It returns false if
// there is nothing to grant or the reading is too old.
func (h *Holder) Grant(now time.Time, upstream string, reading time.Duration, received time.Time) (Grant, bool) {
	u := h.upstreams[upstream]
	if u == nil || !now.Before(h.deadline) || now.Sub(received) > readingAge {
		return Grant{}, false
	}
	list := u.usable()
	if u.grant == 0 || !slices.Equal(list, u.grantShards) {
		h.grants++
		u.grant = h.grants
		u.grantShards = list
	}
	if until := h.deadline.Add(control.ClockMargin); until.After(u.grantedUntil) {
		u.grantedUntil = until
	}
	return Grant{Fence: u.fence, Revision: u.grant, Shards: list, Until: reading + h.deadline.Sub(received)}, true
}

// Granted says that the backend server has accepted a grant.
func (h *Holder) Granted(now time.Time, upstream string, g Grant) {
	u := h.upstreams[upstream]
	if u == nil || u.fence != g.Fence || g.Revision <= u.accepted {
		return
	}
	u.accepted = g.Revision
	for _, s := range u.releasing {
		if state := u.shards[s]; state.idle && state.barredBy <= u.accepted {
			h.next = now
		}
	}
}

// Report sets what is known of the backend server of an upstream. Loads are reported once; nil leaves out the loads.
func (h *Holder) Report(now time.Time, upstream string, state control.ServerState, loads []control.ShardLoad) {
	u := h.upstreams[upstream]
	if u == nil {
		return
	}
	if u.state != state {
		h.next = now
	}
	u.state = state
	if loads != nil {
		u.loads, u.loadsAt = loads, now
	}
}

// Handover returns records that have been handed over and weren't returned before; the controller is told that they have arrived.
func (h *Holder) Handover(upstream string) []control.Release {
	u := h.upstreams[upstream]
	if u == nil {
		return nil
	}
	var fresh []control.Release
	for _, r := range u.handover {
		if !slices.ContainsFunc(u.received, func(o control.Release) bool { return o.Shard == r.Shard && o.History == r.History }) {
			fresh = append(fresh, r)
			u.received = append(u.received, control.Release{Shard: r.Shard, History: r.History})
		}
	}
	return fresh
}

// Lease returns the fence and the shards that aren't being released of an upstream's lease, and whether the lease
// is current. The fence is zero if there is no lease.
func (h *Holder) Lease(now time.Time, upstream string) (fence.Fence, []shard.Shard, bool) {
	u := h.upstreams[upstream]
	if u == nil {
		return 0, nil, false
	}
	var list []shard.Shard
	for s, state := range u.shards {
		if !state.releasing {
			list = append(list, s)
		}
	}
	slices.Sort(list)
	return u.fence, list, now.Before(h.deadline)
}
