package controller_test

import (
	"time"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/controller"
)

// platform simulates the platform: it stores the succession record and the table with conditional updates.
type platform struct {
	simulation *simulation
	down       bool
	// losesResponses drops half of the responses, at random, after the change took effect.
	losesResponses bool
	version        int64
	record         control.Succession
	table          *control.Table
	tableVersion   int64
}

func (p *platform) reachableBy(v *vm) bool {
	return !p.down && p.simulation.reachable(v.name, "platform")
}

// handle performs a platform call. A call without a response ends after 250 ms with an unknown outcome.
func (p *platform) handle(v *vm, e controller.Effect) {
	w, incarnation := p.simulation, v.member.Incarnation
	done := false
	respond := func(fn func()) {
		v.runInProcess(incarnation, func() {
			if !done {
				done = true
				fn()
			}
		})
	}
	w.after(250*time.Millisecond, func() {
		respond(func() { v.reportUnknown(e) })
	})
	w.send(v.name, "platform", func() {
		if p.down {
			return
		}
		fn := p.apply(v, e)
		if p.losesResponses && w.chance(0.5) {
			return
		}
		w.send("platform", v.name, func() { respond(fn) })
	})
}

func (v *vm) reportUnknown(e controller.Effect) {
	switch e.Kind {
	case controller.StoreTable:
		v.ctrl.TableStored(v.now(), 0, controller.WriteUnknown)
	case controller.StoreSuccession:
		v.ctrl.SuccessionStored(v.now(), 0, controller.WriteUnknown)
	case controller.LoadTable:
		v.ctrl.TableLoaded(v.now(), nil, 0, false)
	case controller.LoadSuccession:
		v.ctrl.SuccessionLoaded(v.now(), control.Succession{}, false, false)
	}
}

func (p *platform) apply(v *vm, e controller.Effect) func() {
	result := controller.WriteConflict
	switch e.Kind {
	case controller.StoreTable:
		if e.ExpectedVersion == p.tableVersion {
			p.version++
			p.table, p.tableVersion, result = e.Table, p.version, controller.WriteStored
		}
		version := p.tableVersion
		return func() { v.ctrl.TableStored(v.now(), version, result) }
	case controller.StoreSuccession:
		if e.ExpectedVersion == p.record.Version {
			p.version++
			p.record, result = *e.Succession, controller.WriteStored
			p.record.Version = p.version
		}
		version := p.record.Version
		return func() { v.ctrl.SuccessionStored(v.now(), version, result) }
	case controller.LoadTable:
		table, version := p.table, p.tableVersion
		return func() { v.ctrl.TableLoaded(v.now(), table, version, true) }
	default:
		record := p.record
		return func() { v.ctrl.SuccessionLoaded(v.now(), record, record.Version > 0, true) }
	}
}
