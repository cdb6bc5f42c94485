package controller_test

import (
	"fmt"
	"reflect"
	"time"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/controller"
)

// oracle checks the invariants after every event.
type oracle struct {
	world *world
	// fences maps each granted fence to its upstream and leaseholder.
	fences map[fence.Fence]string
	// proposals holds every table that was sent or stored.
	proposals map[control.Version]*control.Table
	acked     control.Version
	founded   uint32
	checks    int
	failure   string
}

func newOracle(w *world) *oracle {
	return &oracle{world: w, fences: map[fence.Fence]string{}, proposals: map[control.Version]*control.Table{}}
}

func (o *oracle) fail(format string, args ...any) {
	if o.failure == "" {
		o.failure = fmt.Sprintf("at %v: ", o.world.now) + fmt.Sprintf(format, args...)
	}
}

// effect notes the tables that a controller proposes.
func (o *oracle) effect(_ *vm, e controller.Effect) {
	t := e.Table
	if e.Support != nil {
		t = e.Support.Table
	}
	if t == nil {
		return
	}
	o.note(t)
}

// note records a table; a version names one table only.
func (o *oracle) note(t *control.Table) {
	if p := o.proposals[t.Version()]; p != nil && !reflect.DeepEqual(p, t) {
		o.fail("two tables with version %v", t.Version())
	}
	o.proposals[t.Version()] = t
}

func (o *oracle) check() {
	o.checks++
	o.checkOwners()
	acting := ""
	for _, v := range o.world.vms {
		if !v.alive {
			continue
		}
		o.checkTable(v)
		if v.ctrl.Acting(v.now()) {
			if acting != "" {
				o.fail("%s and %s control the pair", acting, v.name)
			}
			acting = v.name
		}
	}
}

// checkOwners requires that each shard can be sent by at most one leaseholder to at most one server.
func (o *oracle) checkOwners() {
	w := o.world
	var holding []*vm
	var times []time.Time
	for _, v := range w.vms {
		if now := v.now(); v.alive && now.Before(v.holder.Deadline()) {
			holding, times = append(holding, v), append(times, now)
		}
	}
	for n := range shard.Shard(w.service.Shards) {
		owner, sender := "", ""
		own := func(server string) {
			if owner != "" && owner != server {
				o.fail("shard %d at %s and %s", n, owner, server)
			}
			owner = server
		}
		for _, s := range w.servers {
			if s.fenced && s.accepts(n) {
				own(s.name)
			}
			for i, v := range holding {
				if _, ok := v.holder.Allowed(times[i], s.name, n); !ok {
					continue
				}
				own(s.name)
				if sender != "" {
					o.fail("shard %d of %s sent by %s and %s", n, s.name, sender, v.name)
				}
				sender = v.name
			}
		}
	}
}

// checkTable requires that tables in force are complete, never go back, and never repeat a fence.
func (o *oracle) checkTable(v *vm) {
	if v.ctrl.Table() == v.checked {
		return
	}
	d := v.ctrl.Dump(v.now())
	if d.Role != "controller" || d.Committed.Term == 0 || d.Committed == o.acked || !v.now().Before(d.Authority) {
		return
	}
	t := v.ctrl.Table()
	v.checked = t
	// A controller that decides alone puts the first table of its term into force without sending it.
	o.note(t)
	if !d.Committed.Newer(o.acked) {
		o.fail("table %v in force after %v", d.Committed, o.acked)
		return
	}
	if d.Committed.Term != o.acked.Term && o.acked.Term > 0 && d.Succession.Founded == o.founded {
		o.checkBase(t)
	}
	o.acked, o.founded = d.Committed, d.Succession.Founded
	seen := map[shard.Shard]bool{}
	for _, p := range t.Placements {
		use := fmt.Sprintf("%s/%s/%d", p.Upstream, p.Leaseholder.Name, p.Leaseholder.Incarnation)
		if former, ok := o.fences[p.Fence]; ok && former != use {
			o.fail("fence %v for %s and %s", p.Fence, former, use)
		}
		o.fences[p.Fence] = use
		for _, s := range p.Shards {
			if seen[s] {
				o.fail("shard %d twice in table %v", s, d.Committed)
			}
			seen[s] = true
		}
	}
	if len(seen) != int(o.world.service.Shards) {
		o.fail("table %v has %d shards", d.Committed, len(seen))
	}
}

// checkBase requires that a new term starts from a table that isn't older than the last one in force.
func (o *oracle) checkBase(t *control.Table) {
	first := o.proposals[control.Version{Term: t.Term, Sequence: 1}]
	for version, p := range o.proposals {
		if version.Term < t.Term && !o.acked.Newer(version) && first != nil && reflect.DeepEqual(p.Placements, first.Placements) {
			return
		}
	}
	o.fail("term %d doesn't start from table %v or a later one", t.Term, o.acked)
}
