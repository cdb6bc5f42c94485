package partition

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"time"

	"bramleystand.org/common/outcome"
	"bramleystand.org/replay/internal/fleet"
	"bramleystand.org/replay/internal/keyprobe"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/recovery"
	"bramleystand.org/replay/internal/trial"
)

const (
	// servedInterval and refusedInterval are the times between two lookups of a key. The
	// latter is longer because a lookup that can't be served occupies its caller for seconds.
	servedInterval  = 100 * time.Millisecond
	refusedInterval = 500 * time.Millisecond
	// deadlineTolerance is how long after its deadline an operation may end without counting as late.
	deadlineTolerance = 300 * time.Millisecond
)

// lookupGroup is a set of keys that are looked up through some of the entry VMs.
type lookupGroup struct {
	name    string
	keys    []string
	entries []netip.AddrPort
	// mustServe is true if the keys must be served during the cut. Otherwise they must not
	// be served once grace has passed since the start of the cut.
	mustServe bool
	grace     time.Duration
	// uninterrupted is true if no lookup may fail, because the cut ends no lease of the keys.
	uninterrupted bool

	mu      sync.Mutex
	results []operation.Result
}

// addUninterrupted adds a group of keys of which every lookup must be served.
func (s *caseState) addUninterrupted(name string, keys []string, entries []*fleet.Entry) {
	s.addGroup(&lookupGroup{name: name, keys: keys, mustServe: true, uninterrupted: true}, entries)
}

// addServed adds a group of keys that must be served during the cut, though some lookups may fail.
func (s *caseState) addServed(name string, keys []string, entries []*fleet.Entry) {
	s.addGroup(&lookupGroup{name: name, keys: keys, mustServe: true}, entries)
}

// addRefused adds a group of keys that must not be served once grace has passed since the
// start of the cut.
func (s *caseState) addRefused(name string, keys []string, entries []*fleet.Entry, grace time.Duration) {
	s.addGroup(&lookupGroup{name: name, keys: keys, grace: grace}, entries)
}

// addGroup adds a group unless it has no keys, as for the keys of a VM that holds no lease.
func (s *caseState) addGroup(g *lookupGroup, entries []*fleet.Entry) {
	if len(g.keys) == 0 {
		return
	}
	for _, e := range entries {
		g.entries = append(g.entries, e.CallerAddress)
	}
	s.groups = append(s.groups, g)
}

// run looks up the keys at their interval until ctx ends. The names of the operations begin
// with the name of the run.
func (g *lookupGroup) run(ctx context.Context, t *trial.Trial, service, run string) {
	c := t.CallerFor(g.entries)
	do := func(ctx context.Context, o operation.Operation) operation.Result {
		r := c.Do(ctx, o)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.results = append(g.results, r)
		return r
	}
	interval := refusedInterval
	if g.mustServe {
		interval = servedInterval
	}
	keyprobe.New(do, service, run+"-"+strings.ReplaceAll(g.name, " ", "-")).Run(ctx, g.keys, interval)
}

// evaluate returns the figures of the lookups that began during the cut, and the time from
// the heal until all keys are served. Lookups that must not be served count only if their
// deadline was before the heal, because after it they may be served.
func (g *lookupGroup) evaluate(cutAt, healAt time.Time) GroupResult {
	f := GroupResult{Name: g.name, MustServe: g.mustServe, Uninterrupted: g.uninterrupted}
	var attempts []operation.Attempt
	for _, r := range g.results {
		attempts = append(attempts, r.Attempts...)
		if r.Operation.DueAt.Before(cutAt) || !r.Operation.DueAt.Before(healAt) {
			continue
		}
		if !g.mustServe && r.Operation.Deadline.After(healAt) {
			continue
		}
		f.countLookup(r)
		for _, a := range r.Attempts {
			wrong := !g.mustServe && a.Outcome == outcome.Ran && a.Sent.After(cutAt.Add(g.grace)) && a.AnsweredAt.Before(healAt)
			if wrong || a.AnswerError != "" {
				f.WrongResponses++
			}
		}
	}
	during := recovery.Window{Attempts: attempts, Keys: g.keys, From: cutAt, To: healAt}
	f.LongestGapDuringCut = during.LongestGap()
	after := recovery.Window{Attempts: attempts, Keys: g.keys, From: healAt, To: healAt.Add(recoveryWindow)}
	recoveryTime, unserved := after.TimeToRecover()
	f.RecoveryTime, f.UnservedKeys = recoveryTime, len(unserved)
	return f
}
