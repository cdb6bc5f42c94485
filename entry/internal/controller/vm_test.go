package controller_test

import (
	"slices"
	"time"

	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/controller"
	"bramleystand.org/entry/internal/lease"
)

// vm simulates an entry VM with its controller and leaseholder.
type vm struct {
	simulation *simulation
	name       string
	// home is the VM's data centre.
	home   string
	alive  bool
	paused bool
	// permanentlyLost says that the VM never restarts.
	permanentlyLost bool
	deferred        []func()
	member          control.Member
	clock           clock
	ctrl            *controller.Controller
	holder          *lease.Holder
	// seen holds when each VM was last known to be alive, in simulated time.
	seen   map[string]lastSeen
	probes map[string]*probe
	// requestsEnding holds, by upstream, the releasing shards whose last requests are still running.
	requestsEnding map[string]map[shard.Shard]bool
	timerID        int
	checkedTable   *control.Table
	resigning      bool
}

// lastSeen is the newest known incarnation of a VM and when it was alive.
type lastSeen struct {
	member control.Member
	at     time.Duration
}

// probe is what a VM has learned of a backend server from grants and probes.
type probe struct {
	// reading is the latest reading of the server's clock, received is when it arrived by the VM's clock.
	reading  time.Duration
	received time.Time
	// answered is when the server last answered, since is when it was last seen as failed, both in simulated time.
	answered time.Duration
	since    time.Duration
	state    control.ServerState
}

func (v *vm) start() {
	w := v.simulation
	v.alive, v.paused, v.deferred, v.resigning = true, false, nil, false
	v.clock = w.clock()
	v.member = control.Member{Name: v.name, Incarnation: int64(w.now) + 1, DataCentre: v.home}
	v.ctrl = controller.New(pair, v.member, controller.EvenPlanner{})
	v.holder = lease.New(pair, v.member)
	v.seen = map[string]lastSeen{}
	v.probes = map[string]*probe{}
	v.requestsEnding = map[string]map[shard.Shard]bool{}
	v.every(w.randomDuration(0, 50*time.Millisecond), 250*time.Millisecond, v.exchangeState)
	v.every(w.randomDuration(0, 20*time.Millisecond), 100*time.Millisecond, v.probeAll)
	v.scheduleTick()
}

func (v *vm) now() time.Time { return v.clock.time(v.simulation.now) }

// runInProcess runs fn in the process with the given incarnation: never after a crash, and during a pause only when the
// pause ends.
func (v *vm) runInProcess(incarnation int64, fn func()) {
	if !v.alive || v.member.Incarnation != incarnation {
		return
	}
	if v.paused {
		v.deferred = append(v.deferred, func() { v.runInProcess(incarnation, fn) })
		return
	}
	fn()
	v.performEffects()
}

func (v *vm) every(first, period time.Duration, fn func()) {
	incarnation := v.member.Incarnation
	var next func()
	next = func() {
		if v.alive && v.member.Incarnation == incarnation {
			v.runInProcess(incarnation, fn)
			v.simulation.after(period, next)
		}
	}
	v.simulation.after(first, next)
}

// scheduleTick sets a timer for the next time at which one of the state machines has work.
func (v *vm) scheduleTick() {
	v.timerID++
	timerID, incarnation := v.timerID, v.member.Incarnation
	next := v.ctrl.NextDue(v.now())
	if h := v.holder.NextDue(); h.Before(next) {
		next = h
	}
	v.simulation.at(v.clock.trueTime(next), func() {
		if timerID == v.timerID {
			v.runInProcess(incarnation, func() { v.ctrl.Tick(v.now()) })
		}
	})
}

// performEffects performs the effects of the last call and sends the renewals that are due.
func (v *vm) performEffects() {
	v.holder.Follow(v.ctrl.Succession())
	for range 3 {
		for _, e := range v.ctrl.TakeEffects() {
			v.performEffect(e)
		}
	}
	now := v.now()
	if !now.Before(v.holder.NextDue()) {
		for _, r := range v.holder.Renew(now) {
			v.renew(now, r)
		}
	}
	v.endRequests()
	v.scheduleTick()
}

func (v *vm) renew(sent time.Time, r lease.Renewal) {
	incarnation := v.member.Incarnation
	v.simulation.call(v, r.To, func(to *vm) func() {
		p := to.ctrl.HandleRenew(to.now(), r.Request)
		return func() {
			v.runInProcess(incarnation, func() { v.holder.ApplyResponse(v.now(), sent, p); v.probeAll() })
		}
	})
}

// call delivers a request to a process and its response back. A call of a process to itself is never lost.
func (w *simulation) call(from *vm, to control.Member, handle func(*vm) func()) {
	i := slices.IndexFunc(w.vms, func(o *vm) bool { return o.name == to.Name })
	o := w.vms[i]
	if o == from {
		w.after(0, func() {
			o.runInProcess(to.Incarnation, func() { w.after(0, handle(o)) })
		})
		return
	}
	w.send(from.name, o.name, func() {
		o.runInProcess(to.Incarnation, func() { w.send(o.name, from.name, handle(o)) })
	})
}

func (v *vm) performEffect(e controller.Effect) {
	w, incarnation := v.simulation, v.member.Incarnation
	w.oracle.recordEffect(v, e)
	switch e.Kind {
	case controller.SendSupport:
		w.call(v, e.To, func(to *vm) func() {
			p := to.ctrl.HandleSupport(to.now(), *e.Support)
			return func() {
				v.runInProcess(incarnation, func() { v.ctrl.HandleSupportResponse(v.now(), e.Sent, p) })
			}
		})
	case controller.SendResign:
		w.call(v, e.To, func(to *vm) func() {
			to.ctrl.HandleResign(to.now(), *e.Resign)
			return func() {}
		})
	default:
		w.platform.handle(v, e)
	}
}

// endRequests lets the requests of releasing shards end after a random time of up to 60 ms.
func (v *vm) endRequests() {
	w, incarnation := v.simulation, v.member.Incarnation
	for _, name := range v.holder.Upstreams() {
		for _, s := range v.holder.Releasing(name) {
			if v.requestsEnding[name] == nil {
				v.requestsEnding[name] = map[shard.Shard]bool{}
			}
			if v.requestsEnding[name][s] {
				continue
			}
			v.requestsEnding[name][s] = true
			w.after(w.randomDuration(0, 60*time.Millisecond), func() {
				v.runInProcess(incarnation, func() {
					delete(v.requestsEnding[name], s)
					v.holder.MarkIdle(v.now(), name, control.Release{Shard: s, ReleasedFence: 1})
					v.probeAll()
				})
			})
		}
	}
}

// probeAll sends a grant or a probe to each backend server under lease, and reports those that don't answer as failed.
func (v *vm) probeAll() {
	w, now := v.simulation, v.now()
	for _, s := range w.servers {
		if !slices.Contains(v.holder.Upstreams(), s.name) {
			delete(v.probes, s.name)
			continue
		}
		p := v.probes[s.name]
		if p == nil {
			p = &probe{answered: w.now, since: w.now}
			v.probes[s.name] = p
		}
		if w.now-p.answered > 600*time.Millisecond {
			p.state, p.since = control.Failed, w.now
		} else if w.now-p.since > time.Second {
			p.state = control.Alive
		}
		v.holder.SetServerReport(now, s.name, p.state, nil)
		var g lease.Grant
		ok := false
		if s.fenced && p.received.After(epoch) {
			g, ok = v.holder.Grant(now, s.name, p.reading, p.received)
		}
		v.probe(s, p, g, ok)
	}
}

func (v *vm) probe(s *server, p *probe, g lease.Grant, ok bool) {
	w, incarnation, starts := v.simulation, v.member.Incarnation, s.starts
	w.send(v.name, s.name, func() {
		s.runInProcess(starts, func() {
			accepted := ok && s.grant(g)
			reading := s.clock.reading(w.now)
			w.send(s.name, v.name, func() {
				v.runInProcess(incarnation, func() {
					p.answered = w.now
					if reading > p.reading {
						p.reading, p.received = reading, v.now()
					}
					if accepted {
						v.holder.GrantAccepted(v.now(), s.name, g)
					}
				})
			})
		})
	})
}

// exchangeState exchanges records, tables and live VMs with a random VM, and reads the platform.
func (v *vm) exchangeState() {
	w := v.simulation
	v.seen[v.name] = lastSeen{v.member, w.now}
	for _, i := range w.random.Perm(len(w.vms)) {
		o := w.vms[i]
		if o == v || !o.alive || o.paused || !w.reachable(v.name, o.name) {
			continue
		}
		o.seen[o.name] = lastSeen{o.member, w.now}
		v.merge(o)
		o.merge(v)
		break
	}
	removed := map[string]bool{}
	if w.platform.reachableBy(v) {
		removed = w.removed
		if w.platform.record.Version > 0 {
			v.ctrl.AdoptSuccession(v.now(), w.platform.record)
		}
	}
	var live []control.Member
	for _, name := range sortedNames(v.seen) {
		if g := v.seen[name]; w.now-g.at < 2*time.Second {
			live = append(live, g.member)
		}
	}
	v.ctrl.Configure(v.now(), w.service, w.leaving)
	v.ctrl.SetVMs(v.now(), live, removed)
}

func (v *vm) merge(o *vm) {
	for name, g := range o.seen {
		if g.member.Incarnation > v.seen[name].member.Incarnation || g.at > v.seen[name].at && g.member.Same(v.seen[name].member) {
			v.seen[name] = g
		}
	}
	if s := o.ctrl.Succession(); s.Version > 0 {
		v.ctrl.AdoptSuccession(v.now(), s)
	}
	if t := o.ctrl.Table(); t != nil {
		v.ctrl.AdoptTable(v.now(), t)
	}
	v.holder.Follow(v.ctrl.Succession())
}

func sortedNames(m map[string]lastSeen) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (v *vm) crash() { v.alive, v.deferred = false, nil }
func (v *vm) pause() { v.paused = v.alive }

func (v *vm) resume() {
	if !v.paused {
		return
	}
	v.paused = false
	deferred := v.deferred
	v.deferred = nil
	for _, fn := range deferred {
		fn()
		v.simulation.oracle.check()
	}
	if v.alive {
		v.performEffects()
	}
}

// resign stops the VM as planned: it gives up its leases first, then control, then the process ends. It starts again
// 4 s after the resignation began.
func (v *vm) resign() {
	incarnation := v.member.Incarnation
	v.resigning = true
	v.runInProcess(incarnation, func() { v.holder.Resign(v.now()) })
	v.simulation.after(2*time.Second, func() {
		v.runInProcess(incarnation, func() { v.ctrl.Resign(v.now()) })
	})
	v.simulation.after(2500*time.Millisecond, func() {
		if v.member.Incarnation == incarnation {
			v.crash()
		}
	})
	v.simulation.after(4*time.Second, func() {
		if v.member.Incarnation == incarnation && !v.permanentlyLost {
			v.start()
		}
	})
}
