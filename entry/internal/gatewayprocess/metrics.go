package gatewayprocess

import (
	"expvar"
	"time"
)

// publishMetrics adds the state of the process to its metrics; docs/OPERATIONS.md lists them.
func (p *Process) publishMetrics(m *expvar.Map) {
	for name, value := range map[string]func(now time.Time) any{
		"slots":         func(time.Time) any { return p.allocator.Counts() },
		"active":        func(time.Time) any { return p.handler.ActiveCounts() },
		"retries":       func(now time.Time) any { return p.retryBudgets.Balances(now) },
		"store":         func(time.Time) any { return p.store.Counts() },
		"era":           func(time.Time) any { return p.store.Era() },
		"orders":        func(time.Time) any { return p.node.Orders() },
		"coordinator":   func(now time.Time) any { return p.node.Workload(now) },
		"term":          func(time.Time) any { return p.node.CoordinatorTerm() },
		"members":       func(time.Time) any { return len(p.node.Members()) },
		"age":           func(now time.Time) any { return p.copyAges(now) },
		"contact":       func(now time.Time) any { return p.contactCounts(now) },
		"limits":        func(now time.Time) any { return p.limitCounts(now) },
		"reachability":  func(now time.Time) any { return p.reachabilityCounts(now) },
		"crashes":       func(now time.Time) any { return p.crashCounts(now) },
		"clients":       func(time.Time) any { return p.clientServer.Counts() },
		"bodies":        func(time.Time) any { return p.handler.Memory() },
		"peers":         func(time.Time) any { return p.peerListener.Counts() },
		"cold":          func(now time.Time) any { return p.coldLimits.Count(now) },
		"evacuated":     func(time.Time) any { return p.view.Evacuated() },
		"statements":    func(now time.Time) any { return p.statements.Counts(now) },
		"relay":         func(time.Time) any { return p.relayCounts() },
		"configuration": func(time.Time) any { return p.configurationVersion() },
	} {
		m.Set(name, expvar.Func(func() any { return value(time.Now()) }))
	}
}

// reachabilityCounts returns whether the process is cut off from all backend servers (1 or 0), the numbers of
// services and servers that it doesn't reach, and the number of members that are cut off from all.
func (p *Process) reachabilityCounts(now time.Time) map[string]int {
	counts := map[string]int{"cutOff": 0, "services": len(p.reachability.CutOffServices()), "servers": p.reachability.UnreachedServers(), "members": len(p.node.CutOffMembers())}
	if p.reachability.CutOff(now) {
		counts["cutOff"] = 1
	}
	return counts
}

// crashCounts returns the number of requests that ran when servers crashed, and of those that are blocked.
func (p *Process) crashCounts(now time.Time) map[string]int {
	crashed, blocked := p.crashes.Counts(now)
	return map[string]int{"requests": crashed, "blocked": blocked}
}

// relayCounts returns the number of calls that the process has sent through others and taken from them.
func (p *Process) relayCounts() map[string]int64 {
	counts := p.relayClient.Counts()
	counts["taken"] = p.relayServer.Taken()
	return counts
}

// copyAges returns, for each copy of the store's objects, the time in ms since the store last
// responded to its follower; -1 if it never has or the latest list failed.
func (p *Process) copyAges(now time.Time) map[string]int64 {
	out := make(map[string]int64, len(p.followers))
	for name, f := range p.followers {
		out[name] = -1
		if lastResponse := f.LastResponse(); !lastResponse.IsZero() {
			out[name] = now.Sub(lastResponse).Milliseconds()
		}
	}
	return out
}

// contactCounts returns whether the process, as coordinator or candidate, reaches no server, how many
// servers have left its latest order unanswered, how many get orders through another process, and how often
// it has given up the coordinator's role because it was cut off.
func (p *Process) contactCounts(now time.Time) map[string]int {
	contact := p.node.ContactState(now)
	counts := map[string]int{"cut": 0, "unanswered": contact.Unanswered, "relayed": len(contact.Relays), "handed": contact.HandOvers}
	if contact.CutOff {
		counts["cut"] = 1
	}
	return counts
}

// limitCounts returns the number of servers whose request limit is in force, the sum of these limits and
// the number of responses with a limit that could not be used.
func (p *Process) limitCounts(now time.Time) map[string]float64 {
	counts := map[string]float64{"servers": 0, "rate": 0, "invalid": float64(p.limits.Invalid())}
	for _, l := range p.limits.InForce(now) {
		counts["servers"]++
		counts["rate"] += l.PerSecond
	}
	return counts
}

// configurationVersion returns the version of the configuration in force, or zero.
func (p *Process) configurationVersion() uint64 {
	c := p.view.Configuration()
	if c == nil {
		return 0
	}
	return c.Version
}
