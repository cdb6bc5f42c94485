package controller_test

import (
	"slices"
	"time"

	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/controller"
	"bramleystand.org/entry/internal/lease"
)

// vm is an entry VM with its controller and leaseholder.
type vm struct {
	world *world
	name  string
	// home is the VM's data centre.
	home   string
	alive  bool
	paused bool
	// lost says that the VM never comes back.
	lost    bool
	backlog []func()
	member  control.Member
	clock   clock
	ctrl    *controller.Controller
	holder  *lease.Holder
	// seen is when each VM was last known to be alive, by the VM's own clock.
	seen    map[string]sighting
	probes  map[string]*probe
	idling  map[string]map[shard.Shard]bool
	timer   int
	checked *control.Table
	resigns bool
}

type sighting struct {
	member control.Member
	at     time.Duration
}

// probe is what a VM knows of a backend server.
type probe struct {
	reading  time.Duration
	received time.Time
	answered time.Duration
	since    time.Duration
	state    control.ServerState
}

func (v *vm) start() {
	w := v.world
	v.alive, v.paused, v.backlog, v.resigns = true, false, nil, false
	v.clock = w.clock()
	v.member = control.Member{Name: v.name, Incarnation: int64(w.now) + 1, DataCentre: v.home}
	v.ctrl = controller.New(pair, v.member, controller.EvenPlanner{})
	v.holder = lease.New(pair, v.member)
	v.seen = map[string]sighting{}
	v.probes = map[string]*probe{}
	v.idling = map[string]map[shard.Shard]bool{}
	v.every(w.between(0, 50*time.Millisecond), 250*time.Millisecond, v.sync)
	v.every(w.between(0, 20*time.Millisecond), 100*time.Millisecond, v.probeAll)
	v.wake()
}

func (v *vm) now() time.Time { return v.clock.time(v.world.now) }

// do runs fn in the present process: never after a crash, and after a pause only when it ends.
func (v *vm) do(incarnation int64, fn func()) {
	if !v.alive || v.member.Incarnation != incarnation {
		return
	}
	if v.paused {
		v.backlog = append(v.backlog, func() { v.do(incarnation, fn) })
		return
	}
	fn()
	v.after()
}

func (v *vm) every(first, period time.Duration, fn func()) {
	incarnation := v.member.Incarnation
	var next func()
	next = func() {
		if v.alive && v.member.Incarnation == incarnation {
			v.do(incarnation, fn)
			v.world.after(period, next)
		}
	}
	v.world.after(first, next)
}

// wake sets a timer for whatever the state machines want next.
func (v *vm) wake() {
	v.timer++
	timer, incarnation := v.timer, v.member.Incarnation
	next := v.ctrl.Next(v.now())
	if h := v.holder.Next(); h.Before(next) {
		next = h
	}
	v.world.at(v.clock.when(next), func() {
		if timer == v.timer {
			v.do(incarnation, func() { v.ctrl.Tick(v.now()) })
		}
	})
}

// after carries out what the last call has caused.
func (v *vm) after() {
	v.holder.Follow(v.ctrl.Succession())
	for range 3 {
		for _, e := range v.ctrl.Take() {
			v.perform(e)
		}
	}
	now := v.now()
	if !now.Before(v.holder.Next()) {
		for _, r := range v.holder.Renew(now) {
			v.renew(now, r)
		}
	}
	v.release()
	v.wake()
}

func (v *vm) renew(sent time.Time, r lease.Renewal) {
	incarnation := v.member.Incarnation
	v.world.call(v, r.To, func(to *vm) func() {
		p := to.ctrl.HandleRenew(to.now(), r.Request)
		return func() {
			v.do(incarnation, func() { v.holder.Answered(v.now(), sent, p); v.probeAll() })
		}
	})
}

// call delivers a request to a process and its answer back; a call to this process itself is not lost.
func (w *world) call(from *vm, to control.Member, handle func(*vm) func()) {
	i := slices.IndexFunc(w.vms, func(o *vm) bool { return o.name == to.Name })
	o := w.vms[i]
	if o == from {
		w.after(0, func() {
			o.do(to.Incarnation, func() { w.after(0, handle(o)) })
		})
		return
	}
	w.carry(from.name, o.name, func() {
		o.do(to.Incarnation, func() { w.carry(o.name, from.name, handle(o)) })
	})
}

func (v *vm) perform(e controller.Effect) {
	w, incarnation := v.world, v.member.Incarnation
	w.oracle.effect(v, e)
	switch e.Kind {
	case controller.SendSupport:
		w.call(v, e.To, func(to *vm) func() {
			p := to.ctrl.HandleSupport(to.now(), *e.Support)
			return func() {
				v.do(incarnation, func() { v.ctrl.SupportAnswered(v.now(), e.Sent, p) })
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

// release lets the requests of releasing shards end after a while.
func (v *vm) release() {
	w, incarnation := v.world, v.member.Incarnation
	for _, name := range v.holder.Upstreams() {
		for _, s := range v.holder.Releasing(name) {
			if v.idling[name] == nil {
				v.idling[name] = map[shard.Shard]bool{}
			}
			if v.idling[name][s] {
				continue
			}
			v.idling[name][s] = true
			w.after(w.between(0, 60*time.Millisecond), func() {
				v.do(incarnation, func() {
					delete(v.idling[name], s)
					v.holder.Idle(v.now(), name, control.Release{Shard: s, History: 1})
					v.probeAll()
				})
			})
		}
	}
}

// probeAll sends a grant or a probe to each backend server under lease, and reports those that don't answer.
func (v *vm) probeAll() {
	w, now := v.world, v.now()
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
		v.holder.Report(now, s.name, p.state, nil)
		var g lease.Grant
		ok := false
		if s.fenced && p.received.After(epoch) {
			g, ok = v.holder.Grant(now, s.name, p.reading, p.received)
		}
		v.probe(s, p, g, ok)
	}
}

func (v *vm) probe(s *server, p *probe, g lease.Grant, ok bool) {
	w, incarnation, starts := v.world, v.member.Incarnation, s.starts
	w.carry(v.name, s.name, func() {
		s.do(starts, func() {
			accepted := ok && s.grant(g)
			reading := s.clock.reading(w.now)
			w.carry(s.name, v.name, func() {
				v.do(incarnation, func() {
					p.answered = w.now
					if reading > p.reading {
						p.reading, p.received = reading, v.now()
					}
					if accepted {
						v.holder.Granted(v.now(), s.name, g)
					}
				})
			})
		})
	})
}

// sync exchanges what is known with a random VM and reads the platform.
func (v *vm) sync() {
	w := v.world
	v.seen[v.name] = sighting{v.member, w.now}
	for _, i := range w.random.Perm(len(w.vms)) {
		o := w.vms[i]
		if o == v || !o.alive || o.paused || !w.reachable(v.name, o.name) {
			continue
		}
		o.seen[o.name] = sighting{o.member, w.now}
		v.learn(o)
		o.learn(v)
		break
	}
	removed := map[string]bool{}
	if w.platform.reaches(v) {
		removed = w.removed
		if w.platform.record.Version > 0 {
			v.ctrl.Adopt(v.now(), w.platform.record)
		}
	}
	var live []control.Member
	for _, name := range sortedNames(v.seen) {
		if g := v.seen[name]; w.now-g.at < 2*time.Second {
			live = append(live, g.member)
		}
	}
	v.ctrl.Configure(v.now(), w.service, w.leaving)
	v.ctrl.Observe(v.now(), live, removed)
}

func (v *vm) learn(o *vm) {
	for name, g := range o.seen {
		if g.member.Incarnation > v.seen[name].member.Incarnation || g.at > v.seen[name].at && g.member.Same(v.seen[name].member) {
			v.seen[name] = g
		}
	}
	if s := o.ctrl.Succession(); s.Version > 0 {
		v.ctrl.Adopt(v.now(), s)
	}
	if t := o.ctrl.Table(); t != nil {
		v.ctrl.Restore(v.now(), t)
	}
	v.holder.Follow(v.ctrl.Succession())
}

func sortedNames(m map[string]sighting) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (v *vm) crash() { v.alive, v.backlog = false, nil }
func (v *vm) pause() { v.paused = v.alive }

func (v *vm) resume() {
	if !v.paused {
		return
	}
	v.paused = false
	backlog := v.backlog
	v.backlog = nil
	for _, fn := range backlog {
		fn()
		v.world.oracle.check()
	}
	if v.alive {
		v.after()
	}
}

// resign is a planned stop: leases first, then control, then the process ends.
func (v *vm) resign() {
	incarnation := v.member.Incarnation
	v.resigns = true
	v.do(incarnation, func() { v.holder.Resign(v.now()) })
	v.world.after(2*time.Second, func() {
		v.do(incarnation, func() { v.ctrl.Resign(v.now()) })
	})
	v.world.after(2500*time.Millisecond, func() {
		if v.member.Incarnation == incarnation {
			v.crash()
		}
	})
	v.world.after(4*time.Second, func() {
		if v.member.Incarnation == incarnation && !v.lost {
			v.start()
		}
	})
}
