package lease_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/lease"
)

const upstream = "server-00"

var (
	pair             = control.Pair{Service: "seat-desk", DataCentre: "tvm"}
	self             = control.Member{Name: "entry-00", Incarnation: 1}
	controllerMember = control.Member{Name: "entry-01", Incarnation: 1}
	start            = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// leaseResponse returns the response to an accepted renewal, with a lease for shards 1 and 2.
func leaseResponse(term uint32, sequence uint64, releasing ...shard.Shard) control.RenewResponse {
	return control.RenewResponse{
		Pair: pair, Accepted: true, Term: term, Sequence: sequence, Controller: controllerMember, Remaining: control.LeaseTTL,
		Leases: []control.Lease{{
			Upstream: upstream, Fence: fence.New(1, 1), Revision: 1, Shards: []shard.Shard{1, 2}, Releasing: releasing,
		}},
	}
}

func isAllowed(h *lease.Holder, ms int, s shard.Shard) bool {
	_, ok := h.FenceFor(at(ms), upstream, s)
	return ok
}

// Guards against late, duplicate, reordered, refused or incomplete responses that extend a lease or revive an expired one.
func TestLeaseDeadline(t *testing.T) {
	cases := map[string]struct {
		responses []control.RenewResponse
		sent      []int
		until     int
	}{
		"counted from the request": {[]control.RenewResponse{leaseResponse(1, 1)}, []int{0}, 1188},
		"renewed":                  {[]control.RenewResponse{leaseResponse(1, 1), leaseResponse(1, 2)}, []int{0, 200}, 1388},
		"older response last":      {[]control.RenewResponse{leaseResponse(1, 2), leaseResponse(1, 1)}, []int{0, 200}, 1188},
		"duplicate":                {[]control.RenewResponse{leaseResponse(1, 1), leaseResponse(1, 1)}, []int{0, 0}, 1188},
		"higher term":              {[]control.RenewResponse{leaseResponse(1, 9), leaseResponse(2, 1)}, []int{0, 200}, 1388},
		"lower term":               {[]control.RenewResponse{leaseResponse(2, 1), leaseResponse(1, 9)}, []int{0, 200}, 1188},
		"refused":                  {[]control.RenewResponse{leaseResponse(1, 1), {Pair: pair, Term: 3}}, []int{0, 200}, 1188},
		"omitted shards unknown":   {[]control.RenewResponse{leaseResponse(1, 1), omitShards(leaseResponse(1, 2))}, []int{0, 200}, 1188},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := lease.New(pair, self)
			for i, response := range c.responses {
				h.ApplyResponse(at(c.sent[i]+50), at(c.sent[i]), response)
			}
			must.True(t, isAllowed(h, c.until-1, 1))
			must.False(t, isAllowed(h, c.until, 1))
			must.False(t, isAllowed(h, 100, 3))
		})
	}
}

// omitShards marks the lease as unchanged in a revision that the holder never reported, so that it can't know the shards.
func omitShards(response control.RenewResponse) control.RenewResponse {
	response.Leases[0].Same, response.Leases[0].Shards, response.Leases[0].Revision = true, nil, 7
	return response
}

// Guards against a shard that is reported as released while the backend server still accepts it, because the
// accepted grant contains the shard, and against one that is used again before the controller withdraws the release.
func TestRelease(t *testing.T) {
	h := lease.New(pair, self)
	h.ApplyResponse(at(10), at(0), leaseResponse(1, 1))
	firstGrant, ok := h.Grant(at(10), upstream, time.Second, at(5))
	must.True(t, ok)
	must.Eq(t, []shard.Shard{1, 2}, firstGrant.Shards)
	must.Eq(t, time.Second+1183*time.Millisecond, firstGrant.Until)
	h.GrantAccepted(at(12), upstream, firstGrant)

	h.ApplyResponse(at(210), at(200), leaseResponse(1, 2, 2))
	must.False(t, isAllowed(h, 211, 2))
	must.Eq(t, []shard.Shard{2}, h.Releasing(upstream))
	must.SliceEmpty(t, reportedReleases(h, 212))
	h.MarkIdle(at(220), upstream, control.Release{Shard: 2, ReleasedFence: 7})
	must.SliceEmpty(t, reportedReleases(h, 221))

	reducedGrant, ok := h.Grant(at(230), upstream, 2*time.Second, at(225))
	must.True(t, ok)
	must.Eq(t, []shard.Shard{1}, reducedGrant.Shards)
	must.Greater(t, firstGrant.Revision, reducedGrant.Revision)
	h.GrantAccepted(at(240), upstream, firstGrant)
	must.SliceEmpty(t, reportedReleases(h, 241))
	h.GrantAccepted(at(242), upstream, reducedGrant)
	must.Eq(t, []control.Release{{Shard: 2, ReleasedFence: 7}}, reportedReleases(h, 243))

	h.ApplyResponse(at(410), at(400), leaseResponse(1, 3))
	must.True(t, isAllowed(h, 411, 2))
	must.SliceEmpty(t, reportedReleases(h, 412))
}

// Guards against a release that waits forever for a backend server that is gone: it must complete when the last grant
// has expired. Guards also against a grant that is based on an old clock reading.
func TestReleaseOfLostServer(t *testing.T) {
	h := lease.New(pair, self)
	h.ApplyResponse(at(10), at(0), leaseResponse(1, 1))
	_, ok := h.Grant(at(10), upstream, time.Second, at(5))
	must.True(t, ok)
	h.ApplyResponse(at(210), at(200), leaseResponse(1, 2, 1, 2))
	h.MarkIdle(at(220), upstream, control.Release{Shard: 1})
	must.SliceEmpty(t, reportedReleases(h, 1307))
	must.Eq(t, []control.Release{{Shard: 1}}, reportedReleases(h, 1308))
	_, ok = h.Grant(at(1000), upstream, time.Second, at(5))
	must.False(t, ok, must.Sprint("grant based on an old clock reading"))
}

// reportedReleases returns the releases that the next renewal reports.
func reportedReleases(h *lease.Holder, ms int) []control.Release {
	return h.Renew(at(ms))[0].Request.Reports[0].Released
}

// Guards against a leaseholder that keeps asking only a controller that is gone, and against one that ignores the
// controller of a later term that a member names.
func TestControllerSearch(t *testing.T) {
	h := lease.New(pair, self)
	otherMembers := []control.Member{{Name: "entry-02", Incarnation: 1}, {Name: "entry-03", Incarnation: 1}}
	h.Follow(control.Succession{Pair: pair, Term: 1, Version: 1, Members: append([]control.Member{controllerMember}, otherMembers...)})
	h.ApplyResponse(at(10), at(0), leaseResponse(1, 1))
	must.Len(t, 1, h.Renew(at(200)))
	must.Len(t, 3, h.Renew(at(500)))
	h.ApplyResponse(at(510), at(500), control.RenewResponse{Pair: pair, Term: 2, Controller: otherMembers[1]})
	must.True(t, h.Renew(at(700))[0].To.Same(otherMembers[1]))
}

// Guards against handed-over operation records that are lost, returned twice or never confirmed to the controller.
func TestHandover(t *testing.T) {
	h := lease.New(pair, self)
	response := leaseResponse(1, 1)
	response.Leases[0].Handovers = []control.Release{{Shard: 2, ReleasedFence: 5, Records: []control.Record{{Ticket: "t"}}}}
	h.ApplyResponse(at(10), at(0), response)
	must.Eq(t, "t", h.Handovers(upstream)[0].Records[0].Ticket)
	response.Sequence = 2
	h.ApplyResponse(at(210), at(200), response)
	must.SliceEmpty(t, h.Handovers(upstream))
	must.Eq(t, []control.Release{{Shard: 2, ReleasedFence: 5}}, h.Renew(at(220))[0].Request.Reports[0].Received)
	h.ApplyResponse(at(410), at(400), leaseResponse(1, 3))
	must.SliceEmpty(t, h.Renew(at(420))[0].Request.Reports[0].Received)
}
