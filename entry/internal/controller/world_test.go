package controller_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

const dataCentre = "tvm"

var (
	pair  = control.Pair{Service: "seat-desk", DataCentre: dataCentre}
	epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// clock is a monotonic clock with its own rate and origin.
type clock struct {
	rate   float64
	origin time.Duration
}

func (c clock) reading(t time.Duration) time.Duration {
	return c.origin + time.Duration(float64(t)*c.rate)
}

func (c clock) time(t time.Duration) time.Time {
	return epoch.Add(c.reading(t))
}

// when returns the true time at which the clock shows the given time.
func (c clock) when(at time.Time) time.Duration {
	return time.Duration(float64(at.Sub(epoch)-c.origin)/c.rate) + time.Microsecond
}

// event is something that happens at a true time.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world simulates the entry VMs of a data centre, their backend servers, the platform and the network.
type world struct {
	random   *rand.Rand
	now      time.Duration
	queue    events
	order    int
	service  *configuration.Service
	leaving  map[string]bool
	removed  map[string]bool
	vms      []*vm
	servers  []*server
	platform *platform
	oracle   *oracle
	// loss and duplication are probabilities, slow the probability of a long delay.
	loss, duplication, slow float64
	cut                     map[[2]string]bool
}

func newWorld(seed uint64, vms, servers int, shards uint32) *world {
	w := &world{
		random:  rand.New(rand.NewPCG(seed, 1)),
		leaving: map[string]bool{}, removed: map[string]bool{}, cut: map[[2]string]bool{},
		service: &configuration.Service{
			Name: pair.Service, Shards: shards,
			Homes: []configuration.Home{{DataCentre: dataCentre, First: 0, Last: shard.Shard(shards - 1)}},
		},
	}
	w.platform = &platform{world: w}
	w.oracle = newOracle(w)
	for i := range servers {
		s := &server{world: w, name: fmt.Sprintf("server-%02d", i), fenced: i%5 < 3, clock: w.clock()}
		w.servers = append(w.servers, s)
		w.service.Upstreams = append(w.service.Upstreams, configuration.Upstream{Name: s.name, DataCentre: dataCentre, Fenced: s.fenced})
	}
	for i := range vms {
		v := &vm{world: w, name: fmt.Sprintf("entry-%02d", i), home: dataCentre}
		w.vms = append(w.vms, v)
	}
	for _, v := range w.vms {
		v.start()
	}
	return w
}

func (w *world) clock() clock {
	return clock{rate: 0.99 + 0.02*w.random.Float64(), origin: time.Duration(w.random.Int64N(int64(time.Hour)))}
}

func (w *world) at(t time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{at: max(t, w.now), order: w.order, run: run})
}

func (w *world) after(d time.Duration, run func()) {
	w.at(w.now+d, run)
}

// advance runs all events of the next d and consults the oracle after each.
func (w *world) advance(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
		w.oracle.check()
	}
	w.now = end
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

func (w *world) chance(p float64) bool {
	return w.random.Float64() < p
}

func (w *world) delay() time.Duration {
	switch {
	case w.chance(w.slow / 8):
		return w.between(500*time.Millisecond, 4*time.Second)
	case w.chance(w.slow):
		return w.between(10*time.Millisecond, 500*time.Millisecond)
	default:
		return w.between(500*time.Microsecond, 2*time.Millisecond)
	}
}

// reachable reports whether messages pass between two named parties.
func (w *world) reachable(a, b string) bool {
	return !w.cut[[2]string{a, b}] && !w.cut[[2]string{b, a}]
}

// carry delivers a message with loss, delay, reordering and duplication.
func (w *world) carry(from, to string, deliver func()) {
	n := 1
	if w.chance(w.duplication) {
		n = 2
	}
	for range n {
		if w.chance(w.loss) || !w.reachable(from, to) {
			continue
		}
		w.after(w.delay(), func() {
			if w.reachable(from, to) {
				deliver()
			}
		})
	}
}

// heal ends all faults except the loss of VMs and servers.
func (w *world) heal() {
	w.loss, w.duplication, w.slow = 0, 0, 0
	clear(w.cut)
	w.platform.down, w.platform.lossy = false, false
	for _, v := range w.vms {
		v.resume()
		if !v.alive && !v.lost {
			v.start()
		}
	}
	for _, s := range w.servers {
		s.thaw()
	}
}

// unserved returns the shards that no leaseholder can have served now.
func (w *world) unserved() []shard.Shard {
	var list []shard.Shard
	for s := range shard.Shard(w.service.Shards) {
		if !slices.ContainsFunc(w.servers, func(b *server) bool { return b.serves(s) }) {
			list = append(list, s)
		}
	}
	return list
}

// settle advances until every shard is served, and returns how long that took, or false after the limit.
func (w *world) settle(limit time.Duration) (time.Duration, bool) {
	start := w.now
	for len(w.unserved()) > 0 {
		if w.now-start > limit {
			return w.now - start, false
		}
		w.advance(5 * time.Millisecond)
	}
	return w.now - start, true
}

func (w *world) restart(i int) {
	if v := w.vms[i]; !v.lost {
		v.crash()
		v.start()
	}
}

func (w *world) resign(i int) {
	if v := w.vms[i]; v.alive && !v.paused {
		v.resign()
	}
}

// controller returns the VM that acts as controller, or nil.
func (w *world) controller() *vm {
	for _, v := range w.vms {
		if v.alive && v.ctrl.Acting(v.now()) {
			return v
		}
	}
	return nil
}

// quit ends control by a VM within the next promise time, while its leases still run.
func (w *world) quit(v *vm) {
	incarnation := v.member.Incarnation
	w.after(w.between(0, 1500*time.Millisecond), func() {
		v.do(incarnation, func() { v.ctrl.Resign(v.now()) })
	})
	w.after(2*time.Second, func() {
		if v.member.Incarnation == incarnation && !v.lost {
			v.crash()
			v.start()
		}
	})
}

// addRemote adds an entry VM of another data centre, which may become a succession member.
func (w *world) addRemote(i int) {
	v := &vm{world: w, name: fmt.Sprintf("remote-%02d", i), home: "klm"}
	w.vms = append(w.vms, v)
	v.start()
}

// remove takes a VM away for good and, after a while, from the platform's list.
func (w *world) remove(i int) {
	v := w.vms[i]
	lost := slices.ContainsFunc(w.vms, func(o *vm) bool { return o.lost })
	if lost || v.home == dataCentre && w.local() < 3 {
		return
	}
	v.crash()
	v.lost = true
	w.after(w.between(0, 2*time.Second), func() {
		w.removed = maps.Clone(w.removed)
		w.removed[v.name] = true
	})
}

// local returns the number of entry VMs of the data centre.
func (w *world) local() int {
	n := 0
	for _, v := range w.vms {
		if v.home == dataCentre {
			n++
		}
	}
	return n
}

// mark sets or removes a leaving mark; maps given to controllers are never changed.
func (w *world) mark(name string, leaving bool) {
	m := maps.Clone(w.leaving)
	delete(m, name)
	if leaving {
		m[name] = true
	}
	w.leaving = m
}

// describe shows the state of all entry VMs.
func (w *world) describe() string {
	text := ""
	for _, v := range w.vms {
		d := v.ctrl.Dump(v.now())
		text += fmt.Sprintf("\n%s alive=%v paused=%v %+v deadline=%v", v.name, v.alive, v.paused, d, v.holder.Deadline().Sub(v.now()))
	}
	return text
}

// other returns a VM that isn't the controller and holds a lease.
func (w *world) other() *vm {
	for _, i := range w.random.Perm(len(w.vms)) {
		if v := w.vms[i]; v != w.controller() && len(v.holder.Upstreams()) > 0 {
			return v
		}
	}
	return nil
}
