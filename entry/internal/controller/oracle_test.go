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

// oracle checks the invariants after every event and keeps the first failure.
type oracle struct {
	simulation *simulation
	// fences maps each fence of a committed table to its upstream and leaseholder.
	fences map[fence.Fence]string
	// proposals holds every table that was sent or stored.
	proposals map[control.Version]*control.Table
	// lastCommitted is the newest committed version, founded the term in which its succession record was created or reset.
	lastCommitted control.Version
	founded       uint32
	checks        int
	failure       string
}

func newOracle(w *simulation) *oracle {
	return &oracle{simulation: w, fences: map[fence.Fence]string{}, proposals: map[control.Version]*control.Table{}}
}

func (o *oracle) fail(format string, args ...any) {
	if o.failure == "" {
		o.failure = fmt.Sprintf("at %v: ", o.simulation.now) + fmt.Sprintf(format, args...)
	}
}

// recordEffect records the table, if any, that an effect sends or stores.
func (o *oracle) recordEffect(_ *vm, e controller.Effect) {
	t := e.Table
	if e.Support != nil {
		t = e.Support.Table
	}
	if t == nil {
		return
	}
	o.recordTable(t)
}

// recordTable records a table and requires that no other table has the same version.
func (o *oracle) recordTable(t *control.Table) {
	if p := o.proposals[t.Version()]; p != nil && !reflect.DeepEqual(p, t) {
		o.fail("two tables with version %v", t.Version())
	}
	o.proposals[t.Version()] = t
}

func (o *oracle) check() {
	o.checks++
	o.checkOwners()
	acting := ""
	for _, v := range o.simulation.vms {
		if !v.alive {
			continue
		}
		o.checkTable(v)
		if v.ctrl.CanGrant(v.now()) {
			if acting != "" {
				o.fail("%s and %s control the pair", acting, v.name)
			}
			acting = v.name
		}
	}
}

// checkOwners requires that at most one leaseholder can send requests for a shard, and to at most one server.
func (o *oracle) checkOwners() {
	w := o.simulation
	var leaseVMs []*vm
	var times []time.Time
	for _, v := range w.vms {
		if now := v.now(); v.alive && now.Before(v.holder.Deadline()) {
			leaseVMs, times = append(leaseVMs, v), append(times, now)
		}
	}
	for n := range shard.Shard(w.service.Shards) {
		owner, sender := "", ""
		setOwner := func(server string) {
			if owner != "" && owner != server {
				o.fail("shard %d at %s and %s", n, owner, server)
			}
			owner = server
		}
		for _, s := range w.servers {
			if s.fenced && s.accepts(n) {
				setOwner(s.name)
			}
			for i, v := range leaseVMs {
				if _, ok := v.holder.FenceFor(times[i], s.name, n); !ok {
					continue
				}
				setOwner(s.name)
				if sender != "" {
					o.fail("shard %d of %s sent by %s and %s", n, s.name, sender, v.name)
				}
				sender = v.name
			}
		}
	}
}

// checkTable requires that committed tables contain every shard once, that their versions never go back, and that no
// fence is used for two leases.
func (o *oracle) checkTable(v *vm) {
	if v.ctrl.Table() == v.checkedTable {
		return
	}
	d := v.ctrl.Dump(v.now())
	if d.Role != "controller" || d.Committed.Term == 0 || d.Committed == o.lastCommitted || !v.now().Before(d.Authority) {
		return
	}
	t := v.ctrl.Table()
	v.checkedTable = t
	// A controller that decides alone commits the first table of its term without sending it, so no effect has shown it.
	o.recordTable(t)
	if !d.Committed.Newer(o.lastCommitted) {
		o.fail("table %v in force after %v", d.Committed, o.lastCommitted)
		return
	}
	if d.Committed.Term != o.lastCommitted.Term && o.lastCommitted.Term > 0 && d.Succession.Founded == o.founded {
		o.checkBase(t)
	}
	o.lastCommitted, o.founded = d.Committed, d.Succession.Founded
	seen := map[shard.Shard]bool{}
	for _, p := range t.Placements {
		lease := fmt.Sprintf("%s/%s/%d", p.Upstream, p.Leaseholder.Name, p.Leaseholder.Incarnation)
		if former, ok := o.fences[p.Fence]; ok && former != lease {
			o.fail("fence %v for %s and %s", p.Fence, former, lease)
		}
		o.fences[p.Fence] = lease
		for _, s := range p.Shards {
			if seen[s] {
				o.fail("shard %d twice in table %v", s, d.Committed)
			}
			seen[s] = true
		}
	}
	if len(seen) != int(o.simulation.service.Shards) {
		o.fail("table %v has %d shards", d.Committed, len(seen))
	}
}

// checkBase requires that a new term starts from a table that isn't older than the last committed one.
func (o *oracle) checkBase(t *control.Table) {
	first := o.proposals[control.Version{Term: t.Term, Sequence: 1}]
	for version, p := range o.proposals {
		if version.Term < t.Term && !o.lastCommitted.Newer(version) && first != nil && reflect.DeepEqual(p.Placements, first.Placements) {
			return
		}
	}
	o.fail("term %d doesn't start from table %v or a later one", t.Term, o.lastCommitted)
}
