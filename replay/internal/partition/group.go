package partition

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"time"

	"bramleystand.org/common/outcome"
	"bramleystand.org/replay/internal/fleet"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/probe"
	"bramleystand.org/replay/internal/recovery"
	"bramleystand.org/replay/internal/trial"
)

const (
	// servedInterval and refusedInterval are the times between two lookups of a key; a
	// lookup that can't be served occupies its caller for seconds.
	servedInterval  = 100 * time.Millisecond
	refusedInterval = 500 * time.Millisecond
	// lateness is the time after its deadline at which an operation counts as late.
	lateness = 300 * time.Millisecond
)

// group is a set of keys that are looked up through some of the entry VMs.
type group struct {
	name    string
	keys    []string
	entries []netip.AddrPort
	// served says that the keys must be served during the cut; otherwise they must not
	// once grace has passed since its start.
	served bool
	grace  time.Duration
	// steady says that no lookup may fail, because the cut ends no lease of the keys.
	steady bool

	mu      sync.Mutex
	results []operation.Result
}

func (s *scene) steady(name string, keys []string, entries []*fleet.Entry) {
	s.add(&group{name: name, keys: keys, served: true, steady: true}, entries)
}

func (s *scene) served(name string, keys []string, entries []*fleet.Entry) {
	s.add(&group{name: name, keys: keys, served: true}, entries)
}

func (s *scene) refused(name string, keys []string, entries []*fleet.Entry, grace time.Duration) {
	s.add(&group{name: name, keys: keys, grace: grace}, entries)
}

// add adds a group unless it has no keys, such as those of a VM that holds no lease.
func (s *scene) add(g *group, entries []*fleet.Entry) {
	if len(g.keys) == 0 {
		return
	}
	for _, e := range entries {
		g.entries = append(g.entries, e.Caller)
	}
	s.groups = append(s.groups, g)
}

// run looks up the keys until ctx ends.
func (g *group) run(ctx context.Context, t *trial.Trial, service, run string) {
	c := t.CallerAt(g.entries)
	do := func(ctx context.Context, o operation.Operation) operation.Result {
		r := c.Do(ctx, o)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.results = append(g.results, r)
		return r
	}
	interval := refusedInterval
	if g.served {
		interval = servedInterval
	}
	probe.New(do, service, run+"-"+strings.ReplaceAll(g.name, " ", "-")).Run(ctx, g.keys, interval)
}

// figures evaluates the lookups that began during the cut, and the time until all keys are
// served after the heal. Lookups that must not be served count only if their deadline came
// before the heal, since they may be served after it.
func (g *group) figures(cutAt, healAt time.Time) Group {
	f := Group{Name: g.name, MustServe: g.served, Steady: g.steady}
	var attempts []operation.Attempt
	for _, r := range g.results {
		attempts = append(attempts, r.Attempts...)
		if r.Operation.Intended.Before(cutAt) || !r.Operation.Intended.Before(healAt) {
			continue
		}
		if !g.served && r.Operation.Deadline.After(healAt) {
			continue
		}
		f.count(r)
		for _, a := range r.Attempts {
			wrong := !g.served && a.Outcome == outcome.Ran && a.Sent.After(cutAt.Add(g.grace)) && a.Answered.Before(healAt)
			if wrong || a.Fault != "" {
				f.Wrong++
			}
		}
	}
	during := recovery.Window{Attempts: attempts, Keys: g.keys, From: cutAt, To: healAt}
	f.Gap = during.Stall()
	after := recovery.Window{Attempts: attempts, Keys: g.keys, From: healAt, To: healAt.Add(window)}
	longest, missing := after.Recovered()
	f.Healed, f.Missing = longest, len(missing)
	return f
}
