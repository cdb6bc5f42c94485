package slots

import (
	"math"
	"time"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/placement"
)

// wirePlacement is a message about a request to be placed. Load is empty if the server has reported none.
type wirePlacement struct {
	_        struct{} `cbor:",toarray"`
	Message  wireMessage
	Service  string
	Centre   string
	Index    int
	Excluded []string
	Warm     []string
	Failed   bool
	NotRun   bool
	Load     []wireLoad
}

type wireLoad struct {
	_        struct{} `cbor:",toarray"`
	Running  int
	Waiting  int
	Slots    int
	Slowdown float64
}

type wirePlacementReply struct {
	_        struct{} `cbor:",toarray"`
	Reply    wireReply
	ID       string
	Instance int64
	Took     int64
}

// encodePlacement returns a message about a request to be placed as it is sent now.
func encodePlacement(now time.Time, m message) *wirePlacement {
	p := m.placed
	w := &wirePlacement{
		Message: *encodeMessage(now, m), Service: p.pool.service, Centre: p.pool.centre, Index: p.pool.index,
		Excluded: p.excluded, Warm: p.warm, Failed: p.outcome.Failed, NotRun: p.outcome.NotRun,
	}
	if l := p.outcome.Load; l != nil {
		w.Load = []wireLoad{{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Slowdown: l.Slowdown}}
	}
	return w
}

// decodePlacement returns a message that has been received now.
func decodePlacement(now time.Time, w *wirePlacement) message {
	m := decodeMessage(now, &w.Message)
	m.placed = &placed{
		pool: poolKey{service: w.Service, centre: w.Centre, index: w.Index}, excluded: w.Excluded, warm: w.Warm,
		outcome: placement.Outcome{ServiceTime: m.serviceTime, Failed: w.Failed, NotRun: w.NotRun},
	}
	if len(w.Load) == 1 && isValidLoad(w.Load[0]) {
		l := w.Load[0]
		m.placed.outcome.Load = &registry.Load{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Slowdown: l.Slowdown}
	}
	return m
}

// maxLoad bounds the figures of a report of load. One beyond it was not made by a server.
const maxLoad = 1 << 20

// isValidLoad reports whether the figures of another process can be those of a server.
func isValidLoad(l wireLoad) bool {
	inRange := func(n int) bool { return n >= 0 && n <= maxLoad }
	return inRange(l.Running) && inRange(l.Waiting) && inRange(l.Slots) && l.Slowdown >= 0 && l.Slowdown <= maxLoad && !math.IsNaN(l.Slowdown)
}

// encodePlacementReply returns a reply as it is sent now.
func encodePlacementReply(now time.Time, r reply) *wirePlacementReply {
	return &wirePlacementReply{Reply: *encodeReply(now, r), ID: r.server.ID, Instance: r.server.Incarnation, Took: r.took.Microseconds()}
}

// decodePlacementReply returns a reply that has been received now.
func decodePlacementReply(now time.Time, w *wirePlacementReply) reply {
	r := decodeReply(now, &w.Reply)
	r.server, r.took = registry.Instance{ID: w.ID, Incarnation: w.Instance}, microseconds(w.Took)
	return r
}
