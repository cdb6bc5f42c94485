package gatewayprocess

import (
	"time"

	"bramleystand.org/common/revision"
	"bramleystand.org/entry/internal/ownership"
	"bramleystand.org/entry/internal/placement"
)

// Dump returns the state of the process, which the admin address serves at /dump.
func (p *Process) Dump() map[string]any {
	d := map[string]any{
		"name": p.self.Name, "incarnation": p.self.Incarnation, "centre": p.self.DataCentre, "ready": p.isReady(),
		"members": p.node.Members(),
	}
	if c := p.view.Configuration(); c != nil {
		d["configuration"] = map[string]any{"version": c.Version, "routes": c.RouteCount()}
	}
	tables := make(map[string]any)
	for name, t := range p.view.Tables() {
		tables[name] = dumpTable(t)
	}
	d["tables"] = tables
	d["servers"] = p.view.Servers().Registered()
	d["reachability"] = p.reachabilityCounts(time.Now())
	d["cutOff"] = p.reachability.CutOffServices()
	d["relay"] = p.relayCounts()
	d["holds"] = p.dumpHolds(time.Now())
	d["limits"] = p.dumpLimits(time.Now())
	d["evacuated"] = p.view.Evacuated()
	d["placements"] = p.dumpPlacements(time.Now())
	contact := p.node.ContactState(time.Now())
	d["contact"] = map[string]any{"cut": contact.CutOff, "unanswered": contact.Unanswered, "relays": contact.Relays, "handed": contact.HandOvers}
	return d
}

// dumpPlacements returns, by service, how the servers whose requests this process places look to a request of the
// highest rank. Times are in ms.
func (p *Process) dumpPlacements(now time.Time) map[string]any {
	placements := make(map[string]any)
	for service, candidates := range p.allocator.Placements(now, 0) {
		var servers []map[string]any
		for _, c := range candidates {
			servers = append(servers, dumpCandidate(c))
		}
		placements[service] = servers
	}
	return placements
}

// dumpCandidate returns a server as the process that places requests sees it. Times are in ms.
func dumpCandidate(c placement.Candidate) map[string]any {
	return map[string]any{
		"server": c.Server.ID, "centre": c.Server.DataCentre, "expected": c.Expected.Milliseconds(), "left": c.Left.Milliseconds(),
		"running": c.Running, "waiting": c.Waiting, "speed": c.Speed, "slowdown": c.Slowdown,
	}
}

// dumpHolds returns the servers that take no requests from this process, with the time in ms until they do.
func (p *Process) dumpHolds(now time.Time) map[string]any {
	holds := make(map[string]any)
	for inst, until := range p.statements.Holds(now) {
		holds[inst.ID] = map[string]any{"incarnation": inst.Incarnation, "left": until.Sub(now).Milliseconds()}
	}
	return holds
}

// dumpLimits returns the request limits of servers that the process knows of, with the time in ms since
// a response last named them and the requests that this process has refused as an allocator.
func (p *Process) dumpLimits(now time.Time) map[string]any {
	limits := make(map[string]any)
	refused := p.allocator.OverLimit()
	for inst, l := range p.limits.InForce(now) {
		limits[inst.ID] = map[string]any{
			"incarnation": inst.Incarnation, "rate": l.PerSecond, "age": now.Sub(l.HeardAt).Milliseconds(), "refused": refused[inst],
		}
	}
	return limits
}

func dumpTable(t *ownership.Table) map[string]any {
	var ranges []map[string]any
	for i := range t.Assignments {
		a := &t.Assignments[i]
		r := map[string]any{"first": a.First, "last": a.Last}
		var holders []string
		for _, h := range a.Holders {
			holders = append(holders, h.ID)
		}
		r["holders"] = holders
		if a.Target != nil {
			r["target"] = a.Target.ID
		}
		ranges = append(ranges, r)
	}
	return map[string]any{"revision": revision.Revision(t.Revision).String(), "term": t.Term, "ranges": ranges}
}
