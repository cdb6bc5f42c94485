package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/admission"
)

// requestKind is a kind of request with its load, and the counts of its requests: those answered
// within the objective, those answered later but before the deadline, and all.
type requestKind struct {
	rank                       int
	meanServiceTime, objective time.Duration
	deadline                   time.Duration
	perSecond                  float64
	inTime, late, total        int
}

// completion is the end of a running request.
type completion struct {
	at          time.Time
	request     *admission.Request
	serviceTime time.Duration
}

// completions implements heap.Interface, ordered by time.
type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}

// simulate sends requests of all kinds to a server for some simulated time and counts the responses.
func simulate(slots int, kinds []*requestKind, duration time.Duration) {
	random := rand.New(rand.NewPCG(1, 0))
	s := admission.New(slots)
	start := time.Unix(0, 0)
	next := make([]time.Time, len(kinds))
	gap := func(k *requestKind) time.Duration {
		return time.Duration(random.ExpFloat64() / k.perSecond * float64(time.Second))
	}
	for i, k := range kinds {
		next[i] = start.Add(gap(k))
	}
	var running completions
	startAll := func(now time.Time, decisions []admission.Decision) {
		for _, d := range decisions {
			if !d.Started {
				continue
			}
			k := kinds[d.Request.Rank]
			serviceTime := time.Duration((0.6 + 0.8*random.Float64()) * float64(k.meanServiceTime))
			heap.Push(&running, completion{at: now.Add(serviceTime), request: d.Request, serviceTime: serviceTime})
		}
	}
	for now := start; now.Sub(start) < duration; {
		first := 0
		for i := range next {
			if next[i].Before(next[first]) {
				first = i
			}
		}
		if len(running) > 0 && running[0].at.Before(next[first]) {
			e := heap.Pop(&running).(completion)
			now = e.at
			k := kinds[e.request.Rank]
			switch {
			case !now.After(e.request.Objective):
				k.inTime++
			case !now.After(e.request.Deadline):
				k.late++
			}
			startAll(now, s.Finish(now, e.request, e.serviceTime))
			continue
		}
		now = next[first]
		k := kinds[first]
		next[first] = now.Add(gap(k))
		k.total++
		startAll(now, s.Submit(now, &admission.Request{
			Rank: k.rank, Arrived: now, Objective: now.Add(k.objective), Deadline: now.Add(k.deadline),
		}))
	}
}

// newKinds returns three kinds of requests with the given numbers of requests a second.
func newKinds(lookups, confirmations, uploads float64) []*requestKind {
	return []*requestKind{
		{rank: 0, meanServiceTime: 90 * time.Millisecond, objective: 250 * time.Millisecond, deadline: 1200 * time.Millisecond, perSecond: lookups},
		{rank: 1, meanServiceTime: 120 * time.Millisecond, objective: 400 * time.Millisecond, deadline: 800 * time.Millisecond, perSecond: confirmations},
		{rank: 2, meanServiceTime: 110 * time.Millisecond, objective: 800 * time.Millisecond, deadline: 1500 * time.Millisecond, perSecond: uploads},
	}
}

// Guards against a flood of lookups in which nearly all are answered late: the load is twice what
// the server can run.
func TestFloodOfUrgentRequests(t *testing.T) {
	k := newKinds(70, 10, 1)
	simulate(4, k, time.Minute)
	// The server can run 44 lookups a second; confirmations take a quarter of it at most.
	must.Greater(t, 0.38*float64(k[0].total), float64(k[0].inTime))
	must.Greater(t, 4*k[0].late, k[0].inTime)
}

// Guards against less urgent requests that get no slot in a flood of urgent ones.
func TestShareOfLessUrgentRequests(t *testing.T) {
	k := newKinds(150, 10, 1)
	simulate(4, k, time.Minute)
	must.Greater(t, 0.25*float64(k[1].total), float64(k[1].inTime+k[1].late))
}

// Guards against urgent requests that wait behind a flood of less urgent ones.
func TestFloodOfUploads(t *testing.T) {
	k := newKinds(15, 5, 60)
	simulate(4, k, time.Minute)
	must.Greater(t, 0.9*float64(k[0].total), float64(k[0].inTime))
	must.Greater(t, 0.9*float64(k[1].total), float64(k[1].inTime))
}

// Guards against refusals and late responses while the load is below the server's capacity.
func TestLoadBelowCapacity(t *testing.T) {
	k := newKinds(20, 7, 3)
	simulate(4, k, time.Minute)
	for _, k := range k {
		must.Greater(t, 0.97*float64(k.total), float64(k.inTime))
	}
}

// Guards against a slot that is given to a request which has left the queue, or is never freed.
func TestQueuedRequestWithdrawn(t *testing.T) {
	now := time.Unix(0, 0)
	s := admission.New(1)
	submit := func() *admission.Request {
		r := &admission.Request{Arrived: now, Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
		s.Submit(now, r)
		return r
	}
	first, second, third := submit(), submit(), submit()
	must.SliceEmpty(t, s.Finish(now, second, 0))
	decisions := s.Finish(now, first, 50*time.Millisecond)
	must.Len(t, 1, decisions)
	must.Eq(t, third, decisions[0].Request)
	s.Finish(now, third, 0)
	must.True(t, s.Idle())
}
