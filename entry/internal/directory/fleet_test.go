package directory_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"time"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/directory"
)

const (
	exchangeTimeout = 300 * time.Millisecond
	watchInterval   = 100 * time.Millisecond
	// pausedRetry is how often the work of a paused node is tried again.
	pausedRetry = 50 * time.Millisecond
)

// fleet simulates the directories of many members, their network and the platform, with a simulated clock and with
// faults that the test sets.
type fleet struct {
	random          *rand.Rand
	now             time.Time
	events          events
	lastOrder       int
	nodes           []*node
	byName          map[string]*node
	byAddr          map[netip.AddrPort]*node
	loss            float64
	isPartitioned   func(a, b *node) bool
	cutFromPlatform func(n *node) bool
	objects         map[string]control.Object
	history         []control.Object
	platformDown    bool
	platformUpSince time.Time
	onMessage       func(from, to *node, message control.Sync)
	regressions     []string
}

// node is one member. A restart gives it an empty directory.
type node struct {
	member       control.Member
	directory    *directory.Directory
	pausedUntil  time.Time
	lastVersions map[string]int64
	// nextChange is the index in the history of the next change that the node reads from the platform.
	nextChange int
}

type event struct {
	at     time.Time
	order  int
	action func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// newFleet returns a fleet whose members know each other if membersKnown is set, and otherwise only the two seeds,
// which are the first two nodes.
func newFleet(seed uint64, size, centres int, membersKnown bool) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: start, isPartitioned: func(_, _ *node) bool { return false }, cutFromPlatform: func(*node) bool { return false },
		byName: map[string]*node{}, byAddr: map[netip.AddrPort]*node{}, objects: map[string]control.Object{},
	}
	var all []control.Announcement
	for i := range size {
		centre := []string{"tvm", "klm", "alp", "fka", "ktq"}[i%centres]
		m := control.Member{
			Name: fmt.Sprintf("%s-%d", centre, i), DataCentre: centre, Incarnation: start.UnixNano(),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7002),
		}
		n := &node{member: m}
		f.nodes = append(f.nodes, n)
		f.byName[m.Name], f.byAddr[m.Address] = n, n
		all = append(all, control.Announcement{Member: m, SequenceNumber: 1})
	}
	for _, n := range f.nodes {
		f.restart(n)
		if membersKnown {
			n.directory.Merge(start, control.Sync{Members: all})
		}
		f.runEvery(n, directory.ExchangeInterval, func() { f.exchange(n, true) })
		f.runEvery(n, directory.RemoteExchangeInterval, func() { f.exchange(n, false) })
		f.runEvery(n, watchInterval, func() { f.watchPlatform(n) })
	}
	return f
}

// restart gives a node an empty directory and a new incarnation.
func (f *fleet) restart(n *node) {
	n.member.Incarnation = f.now.UnixNano()
	n.lastVersions, n.nextChange, n.pausedUntil = map[string]int64{}, 0, time.Time{}
	seeds := []netip.AddrPort{f.nodes[0].member.Address, f.nodes[min(1, len(f.nodes)-1)].member.Address}
	n.directory = directory.New(f.now, n.member, seeds, rand.New(rand.NewPCG(f.random.Uint64(), 1)))
}

func (f *fleet) schedule(d time.Duration, action func()) {
	f.lastOrder++
	heap.Push(&f.events, event{f.now.Add(d), f.lastOrder, action})
}

// runEvery runs the action at each interval, the first time after a random part of it. A paused node does nothing until
// its pause ends.
func (f *fleet) runEvery(n *node, interval time.Duration, action func()) {
	var tick func()
	tick = func() {
		if n.pausedUntil.After(f.now) {
			f.schedule(pausedRetry, tick)
			return
		}
		action()
		f.schedule(interval, tick)
	}
	f.schedule(time.Duration(f.random.Int64N(int64(interval))), tick)
}

// run advances the simulated time and runs the events that are due.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.action()
	}
	f.now = end
}

// deliver calls receive after the network delay, once the receiver is not paused. Messages may be lost, duplicated or
// late.
func (f *fleet) deliver(from, to *node, message control.Sync, receive func()) {
	if f.isPartitioned(from, to) || f.random.Float64() < f.loss {
		return
	}
	if f.onMessage != nil {
		f.onMessage(from, to, message)
	}
	delay := time.Millisecond + time.Duration(f.random.Int64N(int64(2*time.Millisecond)))
	if f.random.Float64() < f.loss {
		// A late message arrives after later ones and after its sender has given up.
		delay += time.Duration(f.random.Int64N(int64(2 * time.Second)))
	}
	var arrive func()
	arrive = func() {
		if to.pausedUntil.After(f.now) {
			f.schedule(pausedRetry, arrive)
			return
		}
		receive()
		f.checkVersions(to)
	}
	f.schedule(delay, arrive)
	if f.random.Float64() < f.loss {
		f.schedule(2*delay, arrive)
	}
}

// exchange runs one exchange of a node, as the entry process does.
func (f *fleet) exchange(n *node, ownCentre bool) {
	partner, ok := n.directory.PickPartner(ownCentre)
	if !ok {
		return
	}
	d, finished := n.directory, false
	f.schedule(exchangeTimeout, func() {
		if !finished {
			finished = true
			d.ExchangeFailed(f.now, partner)
		}
	})
	to := f.byAddr[partner.Address]
	var send func(control.Sync, int)
	send = func(message control.Sync, round int) {
		f.deliver(n, to, message, func() {
			response := to.directory.Offer(f.now, message)
			f.deliver(to, n, response, func() {
				next, more := d.Merge(f.now, response)
				if more && round < directory.MaxExchangeRounds {
					send(next, round+1)
				} else if !finished {
					finished = true
					d.ExchangeSucceeded(f.now, partner)
				}
			})
		})
	}
	send(n.directory.Digest(f.now), 1)
}

// write stores a new version of an object at the platform.
func (f *fleet) write(o control.Object) {
	o.Version = int64(len(f.history) + 1)
	f.history = append(f.history, o)
	f.objects[o.Name] = o
}

// watchPlatform reads the new changes from the platform and, at random, an old one again.
func (f *fleet) watchPlatform(n *node) {
	if f.platformDown || f.now.Sub(f.platformUpSince) < 1500*time.Millisecond || f.cutFromPlatform(n) || !n.directory.WatchesPlatform() {
		return
	}
	for ; n.nextChange < len(f.history); n.nextChange++ {
		n.directory.PutObject(f.now, f.history[n.nextChange])
	}
	if len(f.history) > 0 && f.random.Float64() < f.loss {
		n.directory.PutObject(f.now, f.history[f.random.IntN(len(f.history))])
	}
	f.checkVersions(n)
}

// checkVersions records a regression if a node now has an earlier version of an object than before.
func (f *fleet) checkVersions(n *node) {
	if f.loss == 0 {
		return
	}
	versions := n.directory.Versions()
	for name, version := range n.lastVersions {
		if versions[name] < version {
			f.regressions = append(f.regressions, fmt.Sprintf("%s: %s went from %d to %d", n.member.Name, name, version, versions[name]))
		}
	}
	n.lastVersions = versions
}

// hasConverged reports whether all directories have the newest version of everything.
func (f *fleet) hasConverged() bool {
	want := map[string]int64{}
	for name, o := range f.objects {
		want[name] = o.Version
	}
	for _, n := range f.nodes {
		if !maps.Equal(want, n.directory.Versions()) {
			return false
		}
	}
	return true
}

// runUntilConverged runs the simulation until all directories have everything and returns the time that took, or false
// after the limit.
func (f *fleet) runUntilConverged(limit time.Duration) (time.Duration, bool) {
	const step = 50 * time.Millisecond
	for took := time.Duration(0); took <= limit; took += step {
		if f.hasConverged() {
			return took, true
		}
		f.run(step)
	}
	return limit, false
}
