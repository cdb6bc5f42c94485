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

// trueTime returns the simulated time at which the clock shows the given time.
func (c clock) trueTime(at time.Time) time.Duration {
	return time.Duration(float64(at.Sub(epoch)-c.origin)/c.rate) + time.Microsecond
}

// event is a function to run at a simulated time. Events of the same time run in the order in which they were added.
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

// simulation simulates the entry VMs of a data centre, their backend servers, the platform and the network.
type simulation struct {
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
	// loss, duplication and longDelay are the probabilities with which a message is lost, delivered twice or delayed long.
	loss, duplication, longDelay float64
	blocked                      map[[2]string]bool
}

func newSimulation(seed uint64, vms, servers int, shards uint32) *simulation {
	w := &simulation{
		random:  rand.New(rand.NewPCG(seed, 1)),
		leaving: map[string]bool{}, removed: map[string]bool{}, blocked: map[[2]string]bool{},
		service: &configuration.Service{
			Name: pair.Service, Shards: shards,
			Homes: []configuration.HomeRange{{DataCentre: dataCentre, First: 0, Last: shard.Shard(shards - 1)}},
		},
	}
	w.platform = &platform{simulation: w}
	w.oracle = newOracle(w)
	for i := range servers {
		s := &server{simulation: w, name: fmt.Sprintf("server-%02d", i), fenced: i%5 < 3, clock: w.clock()}
		w.servers = append(w.servers, s)
		w.service.Upstreams = append(w.service.Upstreams, configuration.Upstream{Name: s.name, DataCentre: dataCentre, Fenced: s.fenced})
	}
	for i := range vms {
		v := &vm{simulation: w, name: fmt.Sprintf("entry-%02d", i), home: dataCentre}
		w.vms = append(w.vms, v)
	}
	for _, v := range w.vms {
		v.start()
	}
	return w
}

func (w *simulation) clock() clock {
	return clock{rate: 0.99 + 0.02*w.random.Float64(), origin: time.Duration(w.random.Int64N(int64(time.Hour)))}
}

func (w *simulation) at(t time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{at: max(t, w.now), order: w.order, run: run})
}

func (w *simulation) after(d time.Duration, run func()) {
	w.at(w.now+d, run)
}

// advance runs all events of the next d and checks the invariants after each.
func (w *simulation) advance(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
		w.oracle.check()
	}
	w.now = end
}

func (w *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

func (w *simulation) chance(p float64) bool {
	return w.random.Float64() < p
}

func (w *simulation) delay() time.Duration {
	switch {
	case w.chance(w.longDelay / 8):
		return w.randomDuration(500*time.Millisecond, 4*time.Second)
	case w.chance(w.longDelay):
		return w.randomDuration(10*time.Millisecond, 500*time.Millisecond)
	default:
		return w.randomDuration(500*time.Microsecond, 2*time.Millisecond)
	}
}

// reachable reports whether messages pass between two named nodes.
func (w *simulation) reachable(a, b string) bool {
	return !w.blocked[[2]string{a, b}] && !w.blocked[[2]string{b, a}]
}

// send delivers a message with loss, delay, reordering and duplication.
func (w *simulation) send(from, to string, deliver func()) {
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

// endFaults ends all faults except the permanent loss of VMs and the loss of servers.
func (w *simulation) endFaults() {
	w.loss, w.duplication, w.longDelay = 0, 0, 0
	clear(w.blocked)
	w.platform.down, w.platform.losesResponses = false, false
	for _, v := range w.vms {
		v.resume()
		if !v.alive && !v.permanentlyLost {
			v.start()
		}
	}
	for _, s := range w.servers {
		s.thaw()
	}
}

// unserved returns the shards for which no backend server would serve a request now.
func (w *simulation) unserved() []shard.Shard {
	var list []shard.Shard
	for s := range shard.Shard(w.service.Shards) {
		if !slices.ContainsFunc(w.servers, func(b *server) bool { return b.serves(s) }) {
			list = append(list, s)
		}
	}
	return list
}

// advanceUntilServed advances until every shard is served. It returns how long that took, and false if it exceeds the
// limit.
func (w *simulation) advanceUntilServed(limit time.Duration) (time.Duration, bool) {
	start := w.now
	for len(w.unserved()) > 0 {
		if w.now-start > limit {
			return w.now - start, false
		}
		w.advance(5 * time.Millisecond)
	}
	return w.now - start, true
}

func (w *simulation) restart(i int) {
	if v := w.vms[i]; !v.permanentlyLost {
		v.crash()
		v.start()
	}
}

func (w *simulation) resign(i int) {
	if v := w.vms[i]; v.alive && !v.paused {
		v.resign()
	}
}

// currentController returns the VM whose controller may grant leases, or nil.
func (w *simulation) currentController() *vm {
	for _, v := range w.vms {
		if v.alive && v.ctrl.CanGrant(v.now()) {
			return v
		}
	}
	return nil
}

// resignAndRestart lets a controller resign within 1.5 s, while the promises to it and its leases still run, and
// restarts its VM after 2 s.
func (w *simulation) resignAndRestart(v *vm) {
	incarnation := v.member.Incarnation
	w.after(w.randomDuration(0, 1500*time.Millisecond), func() {
		v.runInProcess(incarnation, func() { v.ctrl.Resign(v.now()) })
	})
	w.after(2*time.Second, func() {
		if v.member.Incarnation == incarnation && !v.permanentlyLost {
			v.crash()
			v.start()
		}
	})
}

// addRemote adds an entry VM of another data centre, which may become a succession member.
func (w *simulation) addRemote(i int) {
	v := &vm{simulation: w, name: fmt.Sprintf("remote-%02d", i), home: "klm"}
	w.vms = append(w.vms, v)
	v.start()
}

// remove ends a VM permanently and removes it from the platform's list up to 2 s later. It does nothing if a VM has been
// removed before, or if the VM is one of fewer than three of the data centre.
func (w *simulation) remove(i int) {
	v := w.vms[i]
	anyLost := slices.ContainsFunc(w.vms, func(o *vm) bool { return o.permanentlyLost })
	if anyLost || v.home == dataCentre && w.localVMs() < 3 {
		return
	}
	v.crash()
	v.permanentlyLost = true
	w.after(w.randomDuration(0, 2*time.Second), func() {
		w.removed = maps.Clone(w.removed)
		w.removed[v.name] = true
	})
}

// localVMs returns the number of entry VMs of the data centre.
func (w *simulation) localVMs() int {
	n := 0
	for _, v := range w.vms {
		if v.home == dataCentre {
			n++
		}
	}
	return n
}

// setLeaving sets whether a VM or server is leaving. It replaces the map, because maps given to controllers must not
// change.
func (w *simulation) setLeaving(name string, leaving bool) {
	m := maps.Clone(w.leaving)
	delete(m, name)
	if leaving {
		m[name] = true
	}
	w.leaving = m
}

// describe formats the state of all entry VMs.
func (w *simulation) describe() string {
	text := ""
	for _, v := range w.vms {
		d := v.ctrl.Dump(v.now())
		text += fmt.Sprintf("\n%s alive=%v paused=%v %+v deadline=%v", v.name, v.alive, v.paused, d, v.holder.Deadline().Sub(v.now()))
	}
	return text
}

// otherLeaseholder returns a random VM that isn't the controller and holds a lease, or nil.
func (w *simulation) otherLeaseholder() *vm {
	for _, i := range w.random.Perm(len(w.vms)) {
		if v := w.vms[i]; v != w.currentController() && len(v.holder.Upstreams()) > 0 {
			return v
		}
	}
	return nil
}
