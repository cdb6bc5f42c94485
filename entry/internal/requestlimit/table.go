// Package requestlimit keeps the request limits that backend servers name in their responses.
//
// A server that is overloaded names the requests a second that it takes from all processes together.
// Each process keeps the latest statement of each server: from responses that it got itself, and from
// other processes, which pass their statements on with requests for slots, replies to these and reports
// to the coordinator. Statements are ordered by the time at which the response arrived; between processes
// they travel with their age, because the clocks of two VMs differ.
//
// # Usage
//
//	table := requestlimit.NewTable(logger)
//	table.Observe(now, instance, sent, reading)
//	table.Merge(now, instance, limit)
//	if limit := table.Get(now, instance); limit.InForce {
//		...
//	}
package requestlimit

import (
	"maps"
	"sync"
	"time"

	"github.com/apex/log"

	"bramleystand.org/common/registry"
)

const (
	// lifetime is how long a statement is kept after the response that made it. It ends the limits of
	// servers that have gone or restarted, which have another instance.
	lifetime = 5 * time.Minute
	// pruneInterval is the time between two removals of outdated statements.
	pruneInterval = 10 * time.Second
	// loggedChange is the factor by which a limit must have changed since the last log line about it.
	loggedChange = 1.25
	// reportTime is how long an own observation is reported, so that a lost report does not hide it.
	reportTime = 1500 * time.Millisecond
	// invalidLogInterval is the time between two log lines about unusable limits.
	invalidLogInterval = 10 * time.Second
)

// Table holds the latest statement of each server. It is safe for concurrent use; its lock is the last
// one to be taken.
type Table struct {
	logger log.Interface

	mu        sync.Mutex
	entries   map[registry.Instance]*entry
	nextPrune time.Time
	// invalid counts the responses whose limit can't be used.
	invalid        int
	nextInvalidLog time.Time
}

// entry is the latest statement of a server.
type entry struct {
	limit Limit
	// observedAt is when a response to this process last stated the limit.
	observedAt time.Time
	// logged is the limit of the last log line.
	logged Limit
}

// NewTable returns a table without statements.
func NewTable(logger log.Interface) *Table {
	return &Table{logger: logger, entries: make(map[registry.Instance]*entry)}
}

// Get returns the latest statement of a server.
func (t *Table) Get(now time.Time, inst registry.Instance) Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(now, inst)
}

// get returns the latest statement of a server unless it is outdated. The lock is held.
func (t *Table) get(now time.Time, inst registry.Instance) Limit {
	e := t.entries[inst]
	if e == nil || now.Sub(e.limit.HeardAt) > lifetime {
		return Limit{}
	}
	return e.limit
}

// Observe records what a response that has arrived now says; sent is when its request was sent at the
// earliest.
func (t *Table) Observe(now time.Time, inst registry.Instance, sent time.Time, r Reading) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.get(now, inst)
	after := before.after(now, sent, r)
	if after == before {
		return
	}
	t.store(now, inst, after).observedAt = now
}

// Merge records the statement of a server that another process knows, if it is newer. One that would be from
// the future counts as made now.
func (t *Table) Merge(now time.Time, inst registry.Instance, l Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.HeardAt.After(now) {
		l.HeardAt = now
	}
	if !l.HeardAt.After(t.get(now, inst).HeardAt) || !IsValid(l.PerSecond) {
		return
	}
	t.store(now, inst, l)
}

// store replaces the statement of a server and logs the change. The lock is held.
func (t *Table) store(now time.Time, inst registry.Instance, l Limit) *entry {
	t.prune(now)
	e := t.entries[inst]
	if e == nil {
		e = &entry{}
		t.entries[inst] = e
	}
	e.limit = l
	fields := log.Fields{"server": inst.ID, "life": inst.Incarnation, "heard": now.Sub(l.HeardAt).Milliseconds()}
	switch {
	case l.InForce && (!e.logged.InForce || differs(l.PerSecond, e.logged.PerSecond)):
		fields["rate"] = l.PerSecond
		t.logger.WithFields(fields).Info("server limits its requests")
		e.logged = l
	case !l.InForce && e.logged.InForce:
		t.logger.WithFields(fields).Info("server no longer limits its requests")
		e.logged = l
	}
	return e
}

// differs reports whether two limits differ by more than loggedChange.
func differs(a, b float64) bool { return a > b*loggedChange || b > a*loggedChange }

// prune removes outdated statements. The lock is held.
func (t *Table) prune(now time.Time) {
	if now.Before(t.nextPrune) {
		return
	}
	t.nextPrune = now.Add(pruneInterval)
	maps.DeleteFunc(t.entries, func(_ registry.Instance, e *entry) bool { return now.Sub(e.limit.HeardAt) > lifetime })
}

// ObserveInvalid counts a response whose limit can't be used. Such a response changes nothing.
func (t *Table) ObserveInvalid(now time.Time, inst registry.Instance, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.invalid++
	if now.Before(t.nextInvalidLog) {
		return
	}
	t.nextInvalidLog = now.Add(invalidLogInterval)
	t.logger.WithError(err).WithFields(log.Fields{"server": inst.ID, "invalid": t.invalid}).Warn("request limit of a server can't be used")
}

// Invalid returns the number of responses whose limit could not be used.
func (t *Table) Invalid() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.invalid
}

// Observed returns the statements that responses to this process have made lately.
func (t *Table) Observed(now time.Time) map[registry.Instance]Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[registry.Instance]Limit)
	for inst, e := range t.entries {
		if now.Sub(e.observedAt) < reportTime {
			out[inst] = e.limit
		}
	}
	return out
}

// InForce returns the limits in force.
func (t *Table) InForce(now time.Time) map[registry.Instance]Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[registry.Instance]Limit)
	for inst := range t.entries {
		if l := t.get(now, inst); l.InForce {
			out[inst] = l
		}
	}
	return out
}
