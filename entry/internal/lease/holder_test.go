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
	pair  = control.Pair{Service: "seat-desk", DataCentre: "tvm"}
	self  = control.Member{Name: "entry-00", Incarnation: 1}
	boss  = control.Member{Name: "entry-01", Incarnation: 1}
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// answer is a grant of shards 1 and 2.
func answer(term uint32, sequence uint64, releasing ...shard.Shard) control.RenewResponse {
	return control.RenewResponse{
		Pair: pair, Accepted: true, Term: term, Sequence: sequence, Controller: boss, Remaining: control.LeaseTTL,
		Leases: []control.Lease{{
			Upstream: upstream, Fence: fence.New(1, 1), Revision: 1, Shards: []shard.Shard{1, 2}, Releasing: releasing,
		}},
	}
}

func allowed(h *lease.Holder, ms int, s shard.Shard) bool {
	_, ok := h.Allowed(at(ms), upstream, s)
	return ok
}

// Guards against leases that late, reordered or foreign answers extend or revive.
func TestAnswered(t *testing.T) {
	cases := map[string]struct {
		answers []control.RenewResponse
		sent    []int
		until   int
	}{
		"counted from sending":  {[]control.RenewResponse{answer(1, 1)}, []int{0}, 1188},
		"renewed":               {[]control.RenewResponse{answer(1, 1), answer(1, 2)}, []int{0, 200}, 1388},
		"older answer last":     {[]control.RenewResponse{answer(1, 2), answer(1, 1)}, []int{0, 200}, 1188},
		"duplicate":             {[]control.RenewResponse{answer(1, 1), answer(1, 1)}, []int{0, 0}, 1188},
		"higher term":           {[]control.RenewResponse{answer(1, 9), answer(2, 1)}, []int{0, 200}, 1388},
		"lower term":            {[]control.RenewResponse{answer(2, 1), answer(1, 9)}, []int{0, 200}, 1188},
		"refused":               {[]control.RenewResponse{answer(1, 1), {Pair: pair, Term: 3}}, []int{0, 200}, 1188},
		"shards never reported": {[]control.RenewResponse{answer(1, 1), same(answer(1, 2))}, []int{0, 200}, 1188},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := lease.New(pair, self)
			for i, p := range c.answers {
				h.Answered(at(c.sent[i]+50), at(c.sent[i]), p)
			}
			must.True(t, allowed(h, c.until-1, 1))
			must.False(t, allowed(h, c.until, 1))
			must.False(t, allowed(h, 100, 3))
		})
	}
}

// same leaves the shards out as if another revision had been reported.
func same(p control.RenewResponse) control.RenewResponse {
	p.Leases[0].Same, p.Leases[0].Shards, p.Leases[0].Revision = true, nil, 7
	return p
}

// Guards against a shard that is reported as released while the backend server
// still accepts it, and against one that is used again before the controller says so.
func TestRelease(t *testing.T) {
	h := lease.New(pair, self)
	h.Answered(at(10), at(0), answer(1, 1))
	first, ok := h.Grant(at(10), upstream, time.Second, at(5))
	must.True(t, ok)
	must.Eq(t, []shard.Shard{1, 2}, first.Shards)
	must.Eq(t, time.Second+1183*time.Millisecond, first.Until)
	h.Granted(at(12), upstream, first)

	h.Answered(at(210), at(200), answer(1, 2, 2))
	must.False(t, allowed(h, 211, 2))
	must.Eq(t, []shard.Shard{2}, h.Releasing(upstream))
	must.SliceEmpty(t, released(h, 212))
	h.Idle(at(220), upstream, control.Release{Shard: 2, History: 7})
	must.SliceEmpty(t, released(h, 221))

	reduced, ok := h.Grant(at(230), upstream, 2*time.Second, at(225))
	must.True(t, ok)
	must.Eq(t, []shard.Shard{1}, reduced.Shards)
	must.Greater(t, first.Revision, reduced.Revision)
	h.Granted(at(240), upstream, first)
	must.SliceEmpty(t, released(h, 241))
	h.Granted(at(242), upstream, reduced)
	must.Eq(t, []control.Release{{Shard: 2, History: 7}}, released(h, 243))

	h.Answered(at(410), at(400), answer(1, 3))
	must.True(t, allowed(h, 411, 2))
	must.SliceEmpty(t, released(h, 412))
}

// Guards against a move that waits forever for a backend server that is gone.
func TestReleaseOfLostServer(t *testing.T) {
	h := lease.New(pair, self)
	h.Answered(at(10), at(0), answer(1, 1))
	_, ok := h.Grant(at(10), upstream, time.Second, at(5))
	must.True(t, ok)
	h.Answered(at(210), at(200), answer(1, 2, 1, 2))
	h.Idle(at(220), upstream, control.Release{Shard: 1})
	must.SliceEmpty(t, released(h, 1307))
	must.Eq(t, []control.Release{{Shard: 1}}, released(h, 1308))
	_, ok = h.Grant(at(1000), upstream, time.Second, at(5))
	must.False(t, ok, must.Sprint("grant based on an old clock reading"))
}

// released returns what the next renewal reports as released.
func released(h *lease.Holder, ms int) []control.Release {
	return h.Renew(at(ms))[0].Request.Reports[0].Released
}

// Guards against leaseholders that keep asking a controller that is gone.
func TestSearch(t *testing.T) {
	h := lease.New(pair, self)
	others := []control.Member{{Name: "entry-02", Incarnation: 1}, {Name: "entry-03", Incarnation: 1}}
	h.Follow(control.Succession{Pair: pair, Term: 1, Version: 1, Members: append([]control.Member{boss}, others...)})
	h.Answered(at(10), at(0), answer(1, 1))
	must.Len(t, 1, h.Renew(at(200)))
	must.Len(t, 3, h.Renew(at(500)))
	h.Answered(at(510), at(500), control.RenewResponse{Pair: pair, Term: 2, Controller: others[1]})
	must.True(t, h.Renew(at(700))[0].To.Same(others[1]))
}

// Guards against handed-over records that are lost or used twice.
func TestHandover(t *testing.T) {
	h := lease.New(pair, self)
	p := answer(1, 1)
	p.Leases[0].Handover = []control.Release{{Shard: 2, History: 5, Records: []control.Record{{Ticket: "t"}}}}
	h.Answered(at(10), at(0), p)
	must.Eq(t, "t", h.Handover(upstream)[0].Records[0].Ticket)
	p.Sequence = 2
	h.Answered(at(210), at(200), p)
	must.SliceEmpty(t, h.Handover(upstream))
	must.Eq(t, []control.Release{{Shard: 2, History: 5}}, h.Renew(at(220))[0].Request.Reports[0].Received)
	h.Answered(at(410), at(400), answer(1, 3))
	must.SliceEmpty(t, h.Renew(at(420))[0].Request.Reports[0].Received)
}
