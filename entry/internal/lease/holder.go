// Package lease implements the leaseholder's side of leases: for which shards an
// entry VM may send requests to which backend server, and until when.
//
// A Holder is a state machine without I/O, goroutines or clock; there is one for
// each pair that the entry VM serves. It asks the pair's controller to renew its
// leases, counts their duration from the time at which the renewal was sent, and
// reports shards as released once neither a running request nor a grant at the
// backend server can use them.
//
// # Usage
//
//	h := lease.New(pair, self)
//	h.Follow(succession)
//	for _, r := range h.Renew(now) {
//		response := send(r.To, r.Request)
//		h.ApplyResponse(time.Now(), now, response)
//	}
//	if f, ok := h.FenceFor(time.Now(), upstream, s); ok {
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
	// clockDriftDivisor gives the part of a lease that is left unused, 1/100, because clocks run at different rates.
	clockDriftDivisor = 100
	// controllerSilenceLimit is how long no renewal may be accepted before all members are asked for one.
	controllerSilenceLimit = 2 * control.RenewInterval
	// maxReadingAge is the greatest age of the clock reading on which a grant is based. Without
	// new readings, a server that stops answering gets no more grants, so that its shards are
	// free one lease duration later.
	maxReadingAge = 2 * control.RenewInterval
)

// Holder keeps the leases of one entry VM for one pair. It is not safe for concurrent use.
type Holder struct {
	pair       control.Pair
	self       control.Member
	succession control.Succession
	controller control.Member
	// controllerTerm is the term in which controller was named.
	controllerTerm uint32
	// lastAccepted is when the latest accepted response came.
	lastAccepted   time.Time
	nextRenewal    time.Time
	lastSequence   uint64
	appliedVersion control.Version
	// deadline is when all leases expire.
	deadline  time.Time
	resigning bool
	upstreams map[string]*upstreamLease
	// lastGrantRevision is the latest revision used for a grant; all backend servers share the numbering.
	lastGrantRevision uint32
}

// New returns a Holder without leases.
func New(pair control.Pair, self control.Member) *Holder {
	return &Holder{pair: pair, self: self, upstreams: map[string]*upstreamLease{}}
}

// Follow adopts a newer succession record, whose members are asked for leases. Older records are ignored.
func (h *Holder) Follow(s control.Succession) {
	if s.Version <= h.succession.Version {
		return
	}
	h.succession = s
	if len(s.Members) > 0 && s.Term >= h.controllerTerm {
		h.controllerTerm = s.Term
		h.controller = s.Members[0]
	}
}

// Resign makes each renewal from now on ask the controller to give all leases to others. The next one is due at once.
func (h *Holder) Resign(now time.Time) {
	h.resigning = true
	h.nextRenewal = now
}

// NextDue returns when Renew is due.
func (h *Holder) NextDue() time.Time {
	return h.nextRenewal
}

// Renew returns the requests to send now: one to the controller and, while it doesn't accept renewals, one to each
// other member of the succession.
func (h *Holder) Renew(now time.Time) []Renewal {
	h.scheduleRenewal(now)
	var recipients []control.Member
	if h.controller.Name != "" {
		recipients = append(recipients, h.controller)
	}
	if !now.Before(h.lastAccepted.Add(controllerSilenceLimit)) {
		for _, m := range slices.Concat(h.succession.Members, h.succession.Former) {
			if !slices.ContainsFunc(recipients, m.Same) {
				recipients = append(recipients, m)
			}
		}
	}
	reports := h.reports(now)
	renewals := make([]Renewal, len(recipients))
	for i, m := range recipients {
		h.lastSequence++
		renewals[i] = Renewal{To: m, Request: control.RenewRequest{
			Pair: h.pair, Member: h.self, Sequence: h.lastSequence, AcceptedVersion: h.appliedVersion, Reports: reports, Resigning: h.resigning,
		}}
	}
	return renewals
}

// scheduleRenewal sets the time of the next renewal. It is earlier than the usual interval if a grant expires before
// and a shard thereby becomes released.
func (h *Holder) scheduleRenewal(now time.Time) {
	h.nextRenewal = now.Add(control.RenewInterval)
	for _, u := range h.upstreams {
		for _, s := range u.releasing {
			if state := u.shards[s]; state.idle && state.grantsEnd.After(now) && state.grantsEnd.Before(h.nextRenewal) {
				h.nextRenewal = state.grantsEnd
			}
		}
	}
}

func (h *Holder) reports(now time.Time) []control.UpstreamReport {
	names := make([]string, 0, len(h.upstreams))
	for name := range h.upstreams {
		names = append(names, name)
	}
	slices.Sort(names)
	reports := make([]control.UpstreamReport, len(names))
	for i, name := range names {
		reports[i] = h.upstreams[name].report(now, name)
	}
	return reports
}

// ApplyResponse applies the response to a request that was sent at the given time.
// Responses that are older than one already applied change nothing.
func (h *Holder) ApplyResponse(now, sent time.Time, response control.RenewResponse) {
	if response.Pair != h.pair {
		return
	}
	if !response.Accepted {
		if response.Term > h.controllerTerm && response.Controller.Name != "" {
			h.controllerTerm, h.controller = response.Term, response.Controller
		}
		return
	}
	v := control.Version{Term: response.Term, Sequence: response.Sequence}
	if !v.Newer(h.appliedVersion) || !h.knowsUnchangedLeases(response) {
		return
	}
	h.appliedVersion = v
	h.controllerTerm, h.controller = response.Term, response.Controller
	h.lastAccepted = now
	h.deadline = sent.Add(response.Remaining - response.Remaining/clockDriftDivisor)
	h.apply(response.Leases)
	for _, u := range h.upstreams {
		if !sent.Before(u.loadsAt) {
			u.loads = nil
		}
	}
}

// knowsUnchangedLeases reports whether the holder has the fence and revision of every lease whose shards are left
// out of the response as unchanged.
func (h *Holder) knowsUnchangedLeases(response control.RenewResponse) bool {
	for _, l := range response.Leases {
		u := h.upstreams[l.Upstream]
		if l.Same && (u == nil || u.fence != l.Fence || u.revision != l.Revision) {
			return false
		}
	}
	return true
}

func (h *Holder) apply(leases []control.Lease) {
	former := h.upstreams
	h.upstreams = make(map[string]*upstreamLease, len(leases))
	for _, l := range leases {
		u := former[l.Upstream]
		if u == nil || u.fence != l.Fence {
			u = newUpstreamLease(l.Fence)
		}
		u.apply(l)
		h.upstreams[l.Upstream] = u
	}
}

// Deadline returns when the leases expire unless they are renewed.
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

// FenceFor returns the fence to send with a request for the shard, and whether it may be sent to the upstream now.
func (h *Holder) FenceFor(now time.Time, upstream string, s shard.Shard) (fence.Fence, bool) {
	u := h.upstreams[upstream]
	if u == nil || !now.Before(h.deadline) {
		return 0, false
	}
	state, ok := u.shards[s]
	return u.fence, ok && !state.releasing
}

// Releasing returns the shards that must be released and for which MarkIdle hasn't been called yet.
func (h *Holder) Releasing(upstream string) []shard.Shard {
	u := h.upstreams[upstream]
	if u == nil {
		return nil
	}
	var shards []shard.Shard
	for _, s := range u.releasing {
		if !u.shards[s].idle {
			shards = append(shards, s)
		}
	}
	return shards
}

// MarkIdle reports that no request for a releasing shard is running or can still start. The release holds the shard's
// operation records for the next leaseholder.
func (h *Holder) MarkIdle(now time.Time, upstream string, r control.Release) {
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
	state.revokingRevision = h.lastGrantRevision + 1
	state.grantsEnd = u.grantedUntil
	u.grantRevision = 0
	if state.isReleased(now, u.acceptedRevision) {
		h.nextRenewal = now
	}
}

// Grant returns the grant for a fenced backend server. The reading is the time on
// the server's clock from a response that came at the time received. It returns false
// if there is no current lease or the reading is too old.
func (h *Holder) Grant(now time.Time, upstream string, reading time.Duration, received time.Time) (Grant, bool) {
	u := h.upstreams[upstream]
	if u == nil || !now.Before(h.deadline) || now.Sub(received) > maxReadingAge {
		return Grant{}, false
	}
	shards := u.grantableShards()
	if u.grantRevision == 0 || !slices.Equal(shards, u.grantedShards) {
		h.lastGrantRevision++
		u.grantRevision = h.lastGrantRevision
		u.grantedShards = shards
	}
	if until := h.deadline.Add(control.ClockMargin); until.After(u.grantedUntil) {
		u.grantedUntil = until
	}
	return Grant{Fence: u.fence, Revision: u.grantRevision, Shards: shards, Until: reading + h.deadline.Sub(received)}, true
}

// GrantAccepted reports that the backend server has accepted a grant.
func (h *Holder) GrantAccepted(now time.Time, upstream string, g Grant) {
	u := h.upstreams[upstream]
	if u == nil || u.fence != g.Fence || g.Revision <= u.acceptedRevision {
		return
	}
	u.acceptedRevision = g.Revision
	for _, s := range u.releasing {
		if state := u.shards[s]; state.idle && state.revokingRevision <= u.acceptedRevision {
			h.nextRenewal = now
		}
	}
}

// SetServerReport sets the state and the shard loads of an upstream's backend server for the next renewals. A change of
// state makes a renewal due at once. Loads are reported until a renewal that carries them is accepted; nil keeps the
// former ones.
func (h *Holder) SetServerReport(now time.Time, upstream string, state control.ServerState, loads []control.ShardLoad) {
	u := h.upstreams[upstream]
	if u == nil {
		return
	}
	if u.state != state {
		h.nextRenewal = now
	}
	u.state = state
	if loads != nil {
		u.loads, u.loadsAt = loads, now
	}
}

// Handovers returns the operation records of shards that were moved to the upstream and weren't returned before. The
// next renewals tell the controller that they have arrived.
func (h *Holder) Handovers(upstream string) []control.Release {
	u := h.upstreams[upstream]
	if u == nil {
		return nil
	}
	var newHandovers []control.Release
	for _, r := range u.handover {
		if !slices.ContainsFunc(u.received, func(o control.Release) bool { return o.Shard == r.Shard && o.ReleasedFence == r.ReleasedFence }) {
			newHandovers = append(newHandovers, r)
			u.received = append(u.received, control.Release{Shard: r.Shard, ReleasedFence: r.ReleasedFence})
		}
	}
	return newHandovers
}

// CurrentLease returns the fence of an upstream's lease, its shards without those being released, and whether the lease
// is current. The fence is zero if there is no lease.
func (h *Holder) CurrentLease(now time.Time, upstream string) (fence.Fence, []shard.Shard, bool) {
	u := h.upstreams[upstream]
	if u == nil {
		return 0, nil, false
	}
	var shards []shard.Shard
	for s, state := range u.shards {
		if !state.releasing {
			shards = append(shards, s)
		}
	}
	slices.Sort(shards)
	return u.fence, shards, now.Before(h.deadline)
}
