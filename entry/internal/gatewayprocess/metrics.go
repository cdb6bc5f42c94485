package gatewayprocess

import (
	"expvar"
	"time"
)

// publish adds the state of the process to its metrics; docs/OPERATIONS.md lists them.
func (p *Process) publish(m *expvar.Map) {
	for name, value := range map[string]func(now time.Time) any{
		"slots":         func(time.Time) any { return p.keeper.Counts() },
		"retries":       func(now time.Time) any { return p.budgets.Left(now) },
		"store":         func(time.Time) any { return p.store.Counts() },
		"orders":        func(time.Time) any { return p.node.Orders() },
		"term":          func(time.Time) any { return p.node.Role() },
		"members":       func(time.Time) any { return len(p.node.Members()) },
		"age":           func(now time.Time) any { return p.ages(now) },
		"configuration": func(time.Time) any { return p.version() },
	} {
		m.Set(name, expvar.Func(func() any { return value(time.Now()) }))
	}
}

// ages returns the times in ms since the store last answered for each copy that is kept of its
// objects; -1 if it never has.
func (p *Process) ages(now time.Time) map[string]int64 {
	out := make(map[string]int64, len(p.followers))
	for name, f := range p.followers {
		out[name] = -1
		if heard := f.Heard(); !heard.IsZero() {
			out[name] = now.Sub(heard).Milliseconds()
		}
	}
	return out
}

// version returns the version of the configuration in force, or zero.
func (p *Process) version() uint64 {
	c := p.view.Configuration()
	if c == nil {
		return 0
	}
	return c.Version
}
