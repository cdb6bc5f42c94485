package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/placement"
)

// load is a load on the servers of a pool, on a simulated clock.
type load struct {
	servers   int
	slots     int
	perSecond float64
	// speed returns how long a server takes for a request at a time, relative to cost, and cost the cost of the
	// n-th request.
	speed func(server int, at time.Duration) float64
	cost  func(n int, r *rand.Rand) time.Duration
	// reports makes the servers report their load and slowdown.
	reports bool
	// processes is the number of processes that the requests come from.
	processes int
}

const objective = 600 * time.Millisecond

// end is the end of a request at a server.
type end struct {
	at      time.Duration
	id      uint64
	server  int
	took    time.Duration
	process int
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// chooser selects the server of a request and learns from its end.
type chooser interface {
	choose(now time.Time, process int, id uint64) int
	ended(now time.Time, e end, l *registry.Load)
}

// play sends requests for 30 s and returns the share that ended within the objective. The servers have FIFO
// queues.
func play(l load, c chooser) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1000, 0)
	free := make([][]time.Duration, l.servers)
	running := make([]int, l.servers)
	for i := range free {
		free[i] = make([]time.Duration, l.slots)
	}
	var pending ends
	served, total := 0, 0
	interval := time.Duration(float64(time.Second) / l.perSecond)
	for at := time.Duration(0); at < 30*time.Second; at += interval {
		for len(pending) > 0 && pending[0].at <= at {
			e := heap.Pop(&pending).(end)
			running[e.server]--
			var report *registry.Load
			if l.reports {
				report = &registry.Load{Running: running[e.server], Slots: l.slots, Slowdown: l.speed(e.server, e.at)}
			}
			c.ended(start.Add(e.at), e, report)
		}
		total++
		id, process := uint64(total), random.IntN(l.processes)
		s := c.choose(start.Add(at), process, id)
		slot := 0
		for i := range free[s] {
			if free[s][i] < free[s][slot] {
				slot = i
			}
		}
		begins := max(at, free[s][slot])
		took := time.Duration(float64(l.cost(total, random)) * l.speed(s, begins))
		free[s][slot] = begins + took
		running[s]++
		heap.Push(&pending, end{at: begins + took, id: id, server: s, took: took, process: process})
		if begins+took-at <= objective {
			served++
		}
	}
	return float64(served) / float64(total)
}

// poolChooser selects servers with a pool.
type poolChooser struct {
	pool  *placement.Pool
	index map[registry.Instance]int
	list  []registry.Server
	// forget, if set, replaces the pool by an empty one now and then, as a restart of its process does.
	forget time.Duration
	last   time.Time
}

func newPoolChooser(l load, forget time.Duration) *poolChooser {
	p := &poolChooser{pool: placement.New(), index: make(map[registry.Instance]int), forget: forget}
	for i := range l.servers {
		s := registry.Server{Instance: registry.Instance{ID: fmt.Sprint("i-", i), Incarnation: 1}, Slots: l.slots}
		p.index[s.Instance] = i
		p.list = append(p.list, s)
	}
	p.pool.SetServers(p.list)
	return p
}

func (p *poolChooser) choose(now time.Time, _ int, id uint64) int {
	if p.forget > 0 && now.Sub(p.last) > p.forget {
		p.last, p.pool = now, placement.New()
		p.pool.SetServers(p.list)
	}
	s, _ := p.pool.Choose(now, placement.Request{Objective: now.Add(objective)})
	p.pool.Start(now, s.Instance, id, 0)
	return p.index[s.Instance]
}

// teach makes the pool expect that requests take the given time.
func (p *poolChooser) teach(took time.Duration) {
	now := time.Unix(900, 0)
	for id := range uint64(300) {
		p.pool.Start(now, p.list[int(id)%len(p.list)].Instance, id, 0)
		p.pool.End(now, p.list[int(id)%len(p.list)].Instance, id, placement.Outcome{ServiceTime: took})
	}
}

func (p *poolChooser) ended(now time.Time, e end, l *registry.Load) {
	p.pool.End(now, p.list[e.server].Instance, e.id, placement.Outcome{ServiceTime: e.took, Load: l})
}

// meanChooser selects the server with the lowest mean time that its process has seen, as the dispatcher does
// without a pool.
type meanChooser struct {
	means   [][]time.Duration
	running [][]int
	slots   int
}

func newMeanChooser(l load) *meanChooser {
	m := &meanChooser{slots: l.slots}
	for range l.processes {
		m.means = append(m.means, make([]time.Duration, l.servers))
		m.running = append(m.running, make([]int, l.servers))
	}
	return m
}

func (m *meanChooser) choose(_ time.Time, process int, _ uint64) int {
	best, lowest := 0, time.Duration(-1)
	for i, mean := range m.means[process] {
		excess := max(0, m.running[process][i]-m.slots+1)
		if cost := mean + mean*time.Duration(excess)/time.Duration(m.slots); lowest < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	m.running[process][best]++
	return best
}

func (m *meanChooser) ended(_ time.Time, e end, _ *registry.Load) {
	m.running[e.process][e.server]--
	mean := &m.means[e.process][e.server]
	if *mean == 0 {
		*mean = e.took
	}
	*mean += (e.took - *mean) / 20
}

func steady(int, time.Duration) float64 { return 1 }

func threefold(server int, _ time.Duration) float64 { return 0.6 + 1.2*float64(server%10)/9 }

// changing is threefold, and a fifth of the time work takes three times as long, changing each 0.4 s.
func changing(server int, at time.Duration) float64 {
	r := rand.New(rand.NewPCG(uint64(server), uint64(at/(400*time.Millisecond))))
	if r.Float64() < 0.2 {
		return 3 * threefold(server, at)
	}
	return threefold(server, at)
}

func equal(int, *rand.Rand) time.Duration { return 180 * time.Millisecond }

func spread(_ int, r *rand.Rand) time.Duration {
	return time.Duration((0.2 + 1.6*r.Float64()) * float64(180*time.Millisecond))
}

func longTail(_ int, r *rand.Rand) time.Duration {
	if r.IntN(33) == 0 {
		return 7 * 150 * time.Millisecond
	}
	return 150 * time.Millisecond
}

// Guards against a choice that sends requests to busy or slow servers while others would end them in time. Half of the
// capacity is in use, so all requests can end within the objective but the long ones.
func TestPoolKeepsObjective(t *testing.T) {
	base := load{servers: 30, slots: 3, perSecond: 210, speed: steady, cost: equal, processes: 60}
	for name, c := range map[string]struct {
		change func(*load)
		forget time.Duration
		wrong  time.Duration
		least  float64
	}{
		"equal requests":       {func(*load) {}, 0, 0, 0.99},
		"spread":               {func(l *load) { l.cost = spread }, 0, 0, 0.99},
		"long requests":        {func(l *load) { l.cost = longTail }, 0, 0, 0.96},
		"servers differ":       {func(l *load) { l.speed = threefold }, 0, 0, 0.97},
		"servers change":       {func(l *load) { l.speed, l.reports, l.perSecond = changing, true, 150 }, 0, 0, 0.75},
		"restarts of the pool": {func(l *load) { l.speed = threefold }, 2 * time.Second, 0, 0.9},
		"estimates too high":   {func(l *load) { l.speed = threefold }, 0, 1800 * time.Millisecond, 0.95},
		"estimates too low":    {func(l *load) { l.speed = threefold }, 0, 18 * time.Millisecond, 0.95},
		"many processes":       {func(l *load) { l.speed, l.processes = threefold, 600 }, 0, 0, 0.97},
	} {
		t.Run(name, func(t *testing.T) {
			l := base
			c.change(&l)
			pool := newPoolChooser(l, c.forget)
			if c.wrong > 0 {
				pool.teach(c.wrong)
			}
			byPool, byMean := play(l, pool), play(l, newMeanChooser(l))
			t.Logf("within the objective: %.3f by pool, %.3f by the means of each process", byPool, byMean)
			must.GreaterEq(t, c.least, byPool)
			must.Greater(t, byMean, byPool)
		})
	}
}

// Guards against work that is left in the ledger after all requests have ended, however they ended, and against
// negative work.
func TestLedgerIsEmptyAtTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		c := newPoolChooser(load{servers: 3, slots: 2}, 0)
		open := make(map[uint64]registry.Instance)
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "requests")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			s, ok := c.pool.Choose(now, placement.Request{Objective: now.Add(objective)})
			must.True(t, ok)
			open[id] = s.Instance
			if rapid.Bool().Draw(t, "queued") {
				c.pool.Queue(s.Instance, id, int(id)%5)
			}
			if rapid.Bool().Draw(t, "started") {
				c.pool.Start(now, s.Instance, id, int(id)%5)
			}
			if rapid.IntRange(0, 9).Draw(t, "removed") == 0 {
				c.pool.SetServers(c.list[:rapid.IntRange(1, 3).Draw(t, "servers")])
			}
			for other, inst := range open {
				must.GreaterEq(t, 0, c.pool.Left(now, inst))
				if rapid.Bool().Draw(t, "ended") {
					c.pool.End(now, inst, other, placement.Outcome{
						ServiceTime: time.Duration(rapid.IntRange(0, 2000).Draw(t, "took")) * time.Millisecond, NotRun: rapid.Bool().Draw(t, "not run"),
						Load: &registry.Load{Running: rapid.IntRange(0, 5).Draw(t, "running"), Slots: 2, Slowdown: rapid.Float64Range(0, 5).Draw(t, "slowdown")},
					})
					delete(open, other)
				}
			}
		}
		for id, inst := range open {
			c.pool.End(now, inst, id, placement.Outcome{})
		}
		for _, s := range c.list {
			must.Eq(t, 0, c.pool.Left(now, s.Instance))
		}
	})
}

// Guards against requests that go to a server which fails them faster than others serve them, and against a server that
// stays without requests when it has recovered.
func TestFailingServerIsAvoided(t *testing.T) {
	c := newPoolChooser(load{servers: 4, slots: 4}, 0)
	now := time.Unix(1000, 0)
	counts := make([]int, 4)
	for id := range uint64(400) {
		now = now.Add(20 * time.Millisecond)
		s := c.choose(now, 0, id)
		counts[s]++
		o := placement.Outcome{ServiceTime: 100 * time.Millisecond}
		if s == 0 && id < 200 {
			o = placement.Outcome{ServiceTime: 5 * time.Millisecond, Failed: true}
		}
		c.pool.End(now, c.list[s].Instance, id, o)
	}
	must.Less(t, 40, counts[0])
}

// BenchmarkChoose measures a choice among the servers of the largest pool that a deployment has.
func BenchmarkChoose(b *testing.B) {
	c := newPoolChooser(load{servers: 345, slots: 3}, 0)
	now := time.Unix(1000, 0)
	for id := range uint64(500) {
		c.choose(now, 0, id)
	}
	b.ReportAllocs()
	for b.Loop() {
		c.pool.Choose(now, placement.Request{Objective: now.Add(objective)})
	}
}
