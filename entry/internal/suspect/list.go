// Package suspect finds requests that crash backend servers.
//
// Every entry VM has one list. When the connections of an upstream break, the
// leaseholder reports the fingerprints of the requests in flight, and each of
// them must run alone from then on. One that succeeds alone is cleared; one that
// was alone when its server broke again is condemned for Lifetime. A request thus
// reaches at most two servers, and those that ran beside it are never condemned.
//
// Entry VMs exchange entries. Each verdict has a version, one above the version
// that its author knew, so an old entry never replaces a newer verdict. A cleared
// fingerprint stays in the list for the same reason until it expires.
//
// # Usage
//
// Check must be called after the request has got its slot, immediately before it
// is sent: while it waited, another copy of it may have crashed the server.
//
//	f := suspect.Of(service, key, req.Method, req.URL.RawQuery, prefix)
//	switch list.Check(time.Now(), f) {
//	case suspect.Condemned:
//		// Refuse with 422.
//	case suspect.Alone:
//		// Acquire an exclusive slot.
//	}
//
//	list.Crash(time.Now(), inFlight)
//	list.Success(time.Now(), f)
//	list.Merge(time.Now(), received)
package suspect

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Lifetime is how long a verdict holds.
const Lifetime = 10 * time.Minute

// minRemaining is the shortest remaining time of an entry that is passed on. Without it, two entry
// VMs could keep an entry alive by sending it to each other just before it expires.
const minRemaining = 2 * time.Second

// verdict is an entry on the local clock.
type verdict struct {
	value   Verdict
	version uint32
	expires time.Time
}

// newer reports whether the verdict replaces o.
func (v verdict) newer(o verdict) bool {
	if v.version != o.version {
		return v.version > o.version
	}
	return v.value > o.value
}

// List holds the verdicts on fingerprints. It is safe for concurrent use.
type List struct {
	limit int

	mu       sync.Mutex
	verdicts map[Fingerprint]verdict
	state    State
}

// New returns an empty list of at most limit entries.
func New(limit int) *List {
	return &List{limit: limit, verdicts: make(map[Fingerprint]verdict)}
}

// Check returns how a request may run.
func (l *List) Check(now time.Time, f Fingerprint) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current(now, f).value
}

// Crash reports that a server broke with these requests in flight.
// It returns the verdict on each fingerprint, in their order.
func (l *List) Crash(now time.Time, inFlight []Fingerprint) []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Crashes++
	out := make([]Verdict, len(inFlight))
	for i, f := range inFlight {
		known := l.current(now, f)
		next := Alone
		if known.value == Condemned || known.value == Alone && len(inFlight) == 1 {
			next = Condemned
		}
		out[i] = next
		l.pass(now, f, known, next)
	}
	return out
}

// Success reports that a request has run alone to its end; a condemned fingerprint stays condemned.
func (l *List) Success(now time.Time, f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.current(now, f); known.value == Alone {
		l.pass(now, f, known, Clear)
	}
}

// Merge takes over the entries that are newer than the own ones.
func (l *List) Merge(now time.Time, entries []Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range entries {
		if e.Remaining < minRemaining || e.Verdict > Condemned || e.Version == 0 {
			continue
		}
		received := verdict{value: e.Verdict, version: e.Version, expires: now.Add(min(e.Remaining, Lifetime))}
		if received.newer(l.current(now, e.Fingerprint)) {
			l.set(now, e.Fingerprint, received)
		}
	}
}

// Entries returns all entries that are worth passing on, in the order of their fingerprints.
func (l *List) Entries(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries(now)
}

// Digest returns a hash of all entries, which is equal for equal lists.
func (l *List) Digest(now time.Time) uint64 {
	h := xxhash.New()
	var buffer [13]byte
	for _, e := range l.Entries(now) {
		binary.LittleEndian.PutUint64(buffer[:], uint64(e.Fingerprint))
		binary.LittleEndian.PutUint32(buffer[8:], e.Version)
		buffer[12] = byte(e.Verdict)
		_, _ = h.Write(buffer[:])
	}
	return h.Sum64()
}

// State returns a snapshot.
func (l *List) State(now time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state
	s.Entries = l.entries(now)
	return s
}

// entries returns the entries that are worth passing on.
func (l *List) entries(now time.Time) []Entry {
	var out []Entry
	for f, v := range l.verdicts {
		if remaining := v.expires.Sub(now); remaining >= minRemaining {
			out = append(out, Entry{Fingerprint: f, Verdict: v.value, Version: v.version, Remaining: remaining})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// current returns the verdict on a fingerprint; its zero value is Clear with version 0.
func (l *List) current(now time.Time, f Fingerprint) verdict {
	v, ok := l.verdicts[f]
	if ok && !v.expires.After(now) {
		delete(l.verdicts, f)
		return verdict{}
	}
	return v
}

// pass sets a new verdict and counts it.
func (l *List) pass(now time.Time, f Fingerprint, known verdict, next Verdict) {
	switch {
	case next == known.value:
	case next == Clear:
		l.state.Cleared++
	case next == Alone:
		l.state.Suspected++
	case next == Condemned:
		l.state.Condemned++
	}
	l.set(now, f, verdict{value: next, version: known.version + 1, expires: now.Add(Lifetime)})
}

// set stores a verdict and makes room for it.
func (l *List) set(now time.Time, f Fingerprint, v verdict) {
	if _, ok := l.verdicts[f]; !ok && len(l.verdicts) >= l.limit {
		l.evict(now)
	}
	l.verdicts[f] = v
}

// evict removes all expired entries or, if there are none, the least severe one that expires first.
func (l *List) evict(now time.Time) {
	before := len(l.verdicts)
	maps.DeleteFunc(l.verdicts, func(_ Fingerprint, v verdict) bool { return !v.expires.After(now) })
	if len(l.verdicts) < before {
		return
	}
	var victim Fingerprint
	var least verdict
	found := false
	for f, v := range l.verdicts {
		if !found || v.value < least.value || v.value == least.value && v.expires.Before(least.expires) {
			victim, least, found = f, v, true
		}
	}
	delete(l.verdicts, victim)
	l.state.Evicted++
}
