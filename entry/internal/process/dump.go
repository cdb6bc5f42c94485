package process

import (
	"encoding/json"
	"fmt"
	"time"

	"bramleystand.org/common/configuration"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/lease"
)

// Dump returns the whole state of the process for /dump on the admin address. The maps
// become JSON objects. The bramleyctl command reads their keys, so they must not change.
func (p *Process) Dump(now time.Time) map[string]any {
	return map[string]any{
		"member":      dumpMember(p.self),
		"members":     p.dumpMembers(now),
		"versions":    p.directory.Versions(),
		"problems":    p.dumpProblems(),
		"services":    p.dumpServices(),
		"preset":      p.directory.Preset().Name,
		"tables":      p.dumpTables(),
		"controllers": p.dumpControllers(now),
		"leases":      p.dumpLeases(now),
		"upstreams":   p.dumpUpstreams(),
		"suspects":    p.suspects.State(now),
		"running":     p.localHandler.inFlight.Load(),
	}
}

func dumpMember(m control.Member) map[string]any {
	return map[string]any{
		"name": m.Name, "incarnation": m.Incarnation, "centre": m.DataCentre, "address": m.Address.String(),
	}
}

func (p *Process) dumpMembers(now time.Time) []map[string]any {
	var out []map[string]any
	for _, a := range p.directory.Members(now) {
		m := dumpMember(a.Member)
		m["beat"], m["leaving"], m["silent"] = a.SequenceNumber, a.Leaving, a.Silent
		out = append(out, m)
	}
	return out
}

func (p *Process) dumpProblems() map[string]string {
	out := make(map[string]string)
	for name, err := range p.directory.InvalidObjects() {
		out[name] = err.Error()
	}
	return out
}

// dumpServices returns the services in the JSON form in which operators write them.
func (p *Process) dumpServices() map[string]json.RawMessage {
	out := make(map[string]json.RawMessage)
	for name, service := range p.directory.Services() {
		value, err := configuration.EncodeService(service)
		if err != nil {
			continue
		}
		out[name] = value
	}
	return out
}

func (p *Process) dumpTables() []map[string]any {
	var out []map[string]any
	for _, t := range p.directory.Tables() {
		var placements []map[string]any
		for _, c := range t.Placements {
			placements = append(placements, map[string]any{
				"upstream": c.Upstream, "leaseholder": dumpMember(c.Leaseholder),
				"fence": c.Fence.String(), "revision": c.Revision, "shards": c.Shards,
			})
		}
		out = append(out, map[string]any{
			"service": t.Pair.Service, "centre": t.Pair.DataCentre, "term": t.Term,
			"sequence": t.Sequence, "placements": placements,
		})
	}
	return out
}

func (p *Process) dumpControllers(now time.Time) map[string]any {
	out := make(map[string]any)
	for id, c := range p.pairRegistry.all() {
		out[id.String()] = c.Dump(now)
	}
	return out
}

func (p *Process) dumpLeases(now time.Time) []map[string]any {
	var out []map[string]any
	for id, c := range p.pairRegistry.all() {
		if id.DataCentre != p.self.DataCentre {
			continue
		}
		c.Holder(func(h *lease.Holder) {
			for _, name := range h.Upstreams() {
				f, shards, current := h.CurrentLease(now, name)
				out = append(out, map[string]any{
					"service": id.Service, "upstream": name, "fence": f.String(),
					"shards": shards, "current": current, "remaining": fmt.Sprint(h.Deadline().Sub(now)),
				})
			}
		})
	}
	return out
}

func (p *Process) dumpUpstreams() []map[string]any {
	var out []map[string]any
	for k, r := range p.localHandler.allRunners() {
		out = append(out, map[string]any{
			"service": k.service, "upstream": k.upstream, "address": r.spec.Address.String(), "fenced": r.spec.Fenced,
			"state": r.upstream.State(), "server": r.serverMonitor.dump(), "connections": r.client.Counts(),
		})
	}
	return out
}
