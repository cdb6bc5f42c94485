package controller_test

import (
	"time"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/controller"
)

// platform stores the succession record and the table with conditional updates.
type platform struct {
	world *world
	down  bool
	// lossy loses every other answer after the change took effect.
	lossy   bool
	version int64
	record  control.Succession
	table   *control.Table
	object  int64
}

func (p *platform) reaches(v *vm) bool {
	return !p.down && p.world.reachable(v.name, "platform")
}

// handle performs a platform call; a call without an answer ends after 250 ms with an unknown outcome.
func (p *platform) handle(v *vm, e controller.Effect) {
	w, incarnation := p.world, v.member.Incarnation
	done := false
	answer := func(fn func()) {
		v.do(incarnation, func() {
			if !done {
				done = true
				fn()
			}
		})
	}
	w.after(250*time.Millisecond, func() {
		answer(func() { v.unknown(e) })
	})
	w.carry(v.name, "platform", func() {
		if p.down {
			return
		}
		fn := p.apply(v, e)
		if p.lossy && w.chance(0.5) {
			return
		}
		w.carry("platform", v.name, func() { answer(fn) })
	})
}

func (v *vm) unknown(e controller.Effect) {
	switch e.Kind {
	case controller.StoreTable:
		v.ctrl.TableStored(v.now(), 0, controller.Unknown)
	case controller.StoreSuccession:
		v.ctrl.SuccessionStored(v.now(), 0, controller.Unknown)
	case controller.LoadTable:
		v.ctrl.TableLoaded(v.now(), nil, 0, false)
	case controller.LoadSuccession:
		v.ctrl.SuccessionLoaded(v.now(), control.Succession{}, false, false)
	}
}

func (p *platform) apply(v *vm, e controller.Effect) func() {
	result := controller.Conflict
	switch e.Kind {
	case controller.StoreTable:
		if e.Expected == p.object {
			p.version++
			p.table, p.object, result = e.Table, p.version, controller.Stored
		}
		version := p.object
		return func() { v.ctrl.TableStored(v.now(), version, result) }
	case controller.StoreSuccession:
		if e.Expected == p.record.Version {
			p.version++
			p.record, result = *e.Succession, controller.Stored
			p.record.Version = p.version
		}
		version := p.record.Version
		return func() { v.ctrl.SuccessionStored(v.now(), version, result) }
	case controller.LoadTable:
		table, version := p.table, p.object
		return func() { v.ctrl.TableLoaded(v.now(), table, version, true) }
	default:
		record := p.record
		return func() { v.ctrl.SuccessionLoaded(v.now(), record, record.Version > 0, true) }
	}
}
