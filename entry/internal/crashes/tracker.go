// Package crashes detects requests that crash the backend servers which run them, across all
// entry processes and their restarts.
//
// A request that three servers were running when they crashed is blocked: every process refuses it from then on.
// A harmless request that ran beside the cause of a crash is not blocked, because its crashes are cleared when a
// server answers it.
//
// Each process has a tracker. It reports what it has observed to the coordinator, which merges the reports and
// sends what has changed to all processes, and writes it to the platform's store. So the crashes outlive the
// coordinator, every single process and, if the store has them, all processes at once. What one process has
// recorded and another one has is merged without regard to order or repetition: clearing begins a new round, a
// higher round replaces a lower one, and the crashes of one round are united.
//
// # Usage
//
//	tracker.RecordCrash(now, f, server)                         // at the process that sent the request
//	entries, version := tracker.Observed(reported, maxEntries)  // for its next report
//	tracker.Merge(now, entries)                                 // at the coordinator
//	entries, version = tracker.Changes(sent, maxEntries)        // for its next update
//	tracker.Merge(now, entries)                                 // at all processes
//	if tracker.IsBlocked(now, f) {
//		// Refuse the request.
//	}
package crashes

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/suspect"
)

const (
	// crashLimit is the number of crashed servers after which a request is blocked; the platform
	// allows three more runs from then on.
	crashLimit = 3
	// retention is how long crashes count and how long a request stays blocked.
	retention = suspect.Lifetime
	// maxRequests bounds the requests that are stored.
	maxRequests = 4096
)

// Entry is what a process knows of the crashes of one request.
type Entry struct {
	Fingerprint suspect.Fingerprint
	// Round is the number of times that the crashes were cleared.
	Round uint32
	// Servers are those that crashed while they ran the request, in this round.
	Servers []registry.Instance
	// Expires is when the crashes no longer count.
	Expires time.Time
}

// isBlocked reports whether the request must be refused.
func (e *Entry) isBlocked() bool { return len(e.Servers) >= crashLimit }

// record is an entry with the versions of the tracker at its latest change and, unless it is zero, at the latest
// change that this process has observed itself.
type record struct {
	Entry
	changed, observed uint64
}

// Tracker holds the crashes that this process has seen or learned of. It is safe for concurrent use.
type Tracker struct {
	logger log.Interface

	mu sync.Mutex
	// version is the number of changes.
	version uint64
	// records has an element of byChange for each request; byChange holds *record in the order of change.
	records  map[suspect.Fingerprint]*list.Element
	byChange *list.List
}

// NewTracker returns an empty tracker.
func NewTracker(logger log.Interface) *Tracker {
	return &Tracker{logger: logger, records: make(map[suspect.Fingerprint]*list.Element), byChange: list.New()}
}

// RecordCrash records that a server crashed while it ran the request.
func (t *Tracker) RecordCrash(now time.Time, f suspect.Fingerprint, s registry.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := Entry{Fingerprint: f, Servers: []registry.Instance{s}, Expires: now.Add(retention)}
	if r := t.find(now, f); r != nil {
		e.Round = r.Round
	}
	if r := t.merge(now, e); r != nil {
		r.observed = r.changed
	}
}

// RecordResponse records that a server has answered the request, which clears its crashes unless it is blocked.
func (t *Tracker) RecordResponse(now time.Time, f suspect.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.find(now, f)
	if r == nil || len(r.Servers) == 0 {
		return
	}
	if r = t.merge(now, Entry{Fingerprint: f, Round: r.Round + 1, Expires: now.Add(retention)}); r != nil {
		r.observed = r.changed
	}
}

// Merge adds what another process knows. It returns the number of changes.
func (t *Tracker) Merge(now time.Time, entries []Entry) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.version
	for _, e := range entries {
		t.merge(now, e)
	}
	return t.version - before
}

// merge adds an entry and returns the record if that has changed it, otherwise nil. The lock is held.
func (t *Tracker) merge(now time.Time, e Entry) *record {
	if !now.Before(e.Expires) {
		return nil
	}
	e.Servers = slices.Clone(e.Servers[:min(len(e.Servers), crashLimit)])
	if latest := now.Add(retention); e.Expires.After(latest) {
		e.Expires = latest
	}
	r := t.find(now, e.Fingerprint)
	switch {
	case r == nil:
		r = t.add(now, e)
	case r.isBlocked(), r.Round > e.Round && !e.isBlocked():
		return nil
	case e.Round > r.Round || e.isBlocked():
		r.Entry = e
	default:
		known := len(r.Servers)
		for _, s := range e.Servers {
			if !slices.Contains(r.Servers, s) {
				r.Servers = append(slices.Clip(r.Servers), s)
			}
		}
		if len(r.Servers) == known {
			return nil
		}
		if e.Expires.After(r.Expires) {
			r.Expires = e.Expires
		}
	}
	if r.isBlocked() {
		t.logger.WithFields(log.Fields{"request": r.Fingerprint, "servers": serverIDs(r.Servers), "round": r.Round}).Warn("request blocked, it crashes servers")
	}
	t.version++
	r.changed = t.version
	t.byChange.MoveToBack(t.records[e.Fingerprint])
	return r
}

func serverIDs(servers []registry.Instance) []string {
	ids := make([]string, len(servers))
	for i, s := range servers {
		ids[i] = s.ID
	}
	return ids
}

// add adds a record. If there is no room, it removes another one. The lock is held.
func (t *Tracker) add(now time.Time, e Entry) *record {
	if len(t.records) >= maxRequests {
		t.evict(now)
	}
	r := &record{Entry: e}
	t.records[e.Fingerprint] = t.byChange.PushBack(r)
	return r
}

// find returns the record of a request, or nil if there is none or its crashes no longer count. The lock is held.
func (t *Tracker) find(now time.Time, f suspect.Fingerprint) *record {
	element, ok := t.records[f]
	if !ok {
		return nil
	}
	r := element.Value.(*record)
	if now.Before(r.Expires) {
		return r
	}
	t.remove(element)
	return nil
}

// remove removes a record. The lock is held.
func (t *Tracker) remove(element *list.Element) {
	delete(t.records, element.Value.(*record).Fingerprint)
	t.byChange.Remove(element)
}

// evict removes all records that have expired or, if there are none, the one with the fewest crashes, of
// several the one that changed first. The lock is held.
func (t *Tracker) evict(now time.Time) {
	before := len(t.records)
	var victim, next *list.Element
	for element := t.byChange.Front(); element != nil; element = next {
		next = element.Next()
		r := element.Value.(*record)
		if !now.Before(r.Expires) {
			t.remove(element)
		} else if victim == nil || len(r.Servers) < len(victim.Value.(*record).Servers) {
			victim = element
		}
	}
	if len(t.records) == before {
		t.remove(victim)
	}
}

// IsBlocked reports whether a request must be refused.
func (t *Tracker) IsBlocked(now time.Time, f suspect.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.find(now, f)
	return r != nil && r.isBlocked()
}

// Version returns the number of changes.
func (t *Tracker) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Changes returns up to limit records that have changed after a version, in the order of change, and the version
// from which the next call continues.
func (t *Tracker) Changes(after uint64, limit int) ([]Entry, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.since(after, limit, func(*record) bool { return true })
}

// Observed is Changes for the records whose latest observation of this process itself is after the version.
func (t *Tracker) Observed(after uint64, limit int) ([]Entry, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.since(after, limit, func(r *record) bool { return r.observed > after })
}

// Latest returns up to limit records with crashes, those that changed last, and the number of changes so far.
func (t *Tracker) Latest(limit int) ([]Entry, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	for element := t.byChange.Back(); element != nil && len(out) < limit; element = element.Prev() {
		if r := element.Value.(*record); len(r.Servers) > 0 {
			out = append(out, r.Entry)
		}
	}
	return out, t.version
}

// since implements Changes for the records that are wanted. The lock is held.
func (t *Tracker) since(after uint64, limit int, wanted func(*record) bool) ([]Entry, uint64) {
	element := t.byChange.Back()
	if element == nil || element.Value.(*record).changed <= after {
		return nil, after
	}
	for element.Prev() != nil && element.Prev().Value.(*record).changed > after {
		element = element.Prev()
	}
	var out []Entry
	for ; element != nil && len(out) < limit; element = element.Next() {
		r := element.Value.(*record)
		after = r.changed
		if wanted(r) {
			out = append(out, r.Entry)
		}
	}
	return out, after
}

// Counts returns the number of requests with crashes that count, and of those that are blocked.
func (t *Tracker) Counts(now time.Time) (crashed, blocked int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, element := range t.records {
		r := element.Value.(*record)
		if !now.Before(r.Expires) || len(r.Servers) == 0 {
			continue
		}
		crashed++
		if r.isBlocked() {
			blocked++
		}
	}
	return crashed, blocked
}
