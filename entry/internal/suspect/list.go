// Package suspect finds requests that crash backend servers.
//
// Every entry VM has one list. When the connections to a backend server break,
// the entry VM that holds the lease of the server reports the fingerprints of the
// requests in flight, and each of them must run alone from then on. One that
// succeeds alone is cleared; one that was alone when its server crashed again is
// condemned for Lifetime, so that it is refused. A request thus crashes at most
// two servers, and the requests that ran beside it are never condemned.
//
// Entry VMs exchange entries. The version of a verdict is one above the version
// that its author knew, so an old entry never replaces a newer verdict. A cleared
// fingerprint stays in the list until it expires for the same reason.
//
// # Usage
//
// VerdictOf must be called after the request has got its slot, immediately before it
// is sent: while it waited, another copy of it may have crashed the server.
//
//	f := suspect.Of(service, key, req.Method, req.URL.RawQuery, prefix)
//	switch list.VerdictOf(time.Now(), f) {
//	case suspect.Condemned:
//		// Refuse with 422.
//	case suspect.MustRunAlone:
//		// Acquire an exclusive slot.
//	}
//
//	list.ReportCrash(time.Now(), inFlight)
//	list.ReportSuccess(time.Now(), f)
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

// Lifetime is the time after which a verdict expires.
const Lifetime = 10 * time.Minute

// minRemaining is the least remaining time of an entry that is sent or accepted. Without it, two entry
// VMs could keep an entry alive by sending it to each other just before it expires.
const minRemaining = 2 * time.Second

// storedVerdict is a verdict that expires at a time of the local clock.
type storedVerdict struct {
	value   Verdict
	version uint32
	expires time.Time
}

// replaces reports whether the verdict takes precedence over o: by its version, then by its severity.
func (v storedVerdict) replaces(o storedVerdict) bool {
	if v.version != o.version {
		return v.version > o.version
	}
	return v.value > o.value
}

// List holds the current verdicts on fingerprints. It is safe for concurrent use.
type List struct {
	maxEntries int

	mu       sync.Mutex
	verdicts map[Fingerprint]storedVerdict
	state    State
}

// New returns an empty list that holds at most maxEntries entries.
func New(maxEntries int) *List {
	return &List{maxEntries: maxEntries, verdicts: make(map[Fingerprint]storedVerdict)}
}

// VerdictOf returns the verdict on a request, Unrestricted if there is none.
func (l *List) VerdictOf(now time.Time, f Fingerprint) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentVerdict(now, f).value
}

// ReportCrash records that a server crashed while these requests were in flight. It returns the new verdict on each
// fingerprint, in the same order.
func (l *List) ReportCrash(now time.Time, inFlight []Fingerprint) []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Crashes++
	out := make([]Verdict, len(inFlight))
	for i, f := range inFlight {
		previous := l.currentVerdict(now, f)
		next := MustRunAlone
		if previous.value == Condemned || previous.value == MustRunAlone && len(inFlight) == 1 {
			next = Condemned
		}
		out[i] = next
		l.recordVerdict(now, f, previous, next)
	}
	return out
}

// ReportSuccess records that a request has run alone and completed, which clears it. A condemned fingerprint stays
// condemned.
func (l *List) ReportSuccess(now time.Time, f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if previous := l.currentVerdict(now, f); previous.value == MustRunAlone {
		l.recordVerdict(now, f, previous, Unrestricted)
	}
}

// Merge accepts received entries that are valid and take precedence over the verdicts in the list.
func (l *List) Merge(now time.Time, entries []Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range entries {
		if e.Remaining < minRemaining || e.Verdict > Condemned || e.Version == 0 {
			continue
		}
		received := storedVerdict{value: e.Verdict, version: e.Version, expires: now.Add(min(e.Remaining, Lifetime))}
		if received.replaces(l.currentVerdict(now, e.Fingerprint)) {
			l.store(now, e.Fingerprint, received)
		}
	}
}

// Entries returns all entries with at least minRemaining until they expire, ordered by fingerprint.
func (l *List) Entries(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries(now)
}

// Digest returns a hash of the fingerprints, versions and verdicts of Entries, which is equal for equal lists.
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

// State returns a snapshot for dumps and metrics.
func (l *List) State(now time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state
	s.Entries = l.entries(now)
	return s
}

// entries implements Entries; the caller holds the lock.
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

// currentVerdict returns the unexpired verdict on a fingerprint, or the zero value, which is Unrestricted with version 0.
// It deletes an expired one.
func (l *List) currentVerdict(now time.Time, f Fingerprint) storedVerdict {
	v, ok := l.verdicts[f]
	if ok && !v.expires.After(now) {
		delete(l.verdicts, f)
		return storedVerdict{}
	}
	return v
}

// recordVerdict stores a verdict with the next version and counts it if it differs from the previous one.
func (l *List) recordVerdict(now time.Time, f Fingerprint, previous storedVerdict, next Verdict) {
	switch {
	case next == previous.value:
	case next == Unrestricted:
		l.state.Cleared++
	case next == MustRunAlone:
		l.state.Suspected++
	case next == Condemned:
		l.state.Condemned++
	}
	l.store(now, f, storedVerdict{value: next, version: previous.version + 1, expires: now.Add(Lifetime)})
}

// store stores a verdict and first evicts entries if the list is full.
func (l *List) store(now time.Time, f Fingerprint, v storedVerdict) {
	if _, ok := l.verdicts[f]; !ok && len(l.verdicts) >= l.maxEntries {
		l.evict(now)
	}
	l.verdicts[f] = v
}

// evict removes all expired entries. If there are none, it removes one entry of the least severe verdict, the one
// that expires first.
func (l *List) evict(now time.Time) {
	before := len(l.verdicts)
	maps.DeleteFunc(l.verdicts, func(_ Fingerprint, v storedVerdict) bool { return !v.expires.After(now) })
	if len(l.verdicts) < before {
		return
	}
	var victim Fingerprint
	var leastSevere storedVerdict
	found := false
	for f, v := range l.verdicts {
		if !found || v.value < leastSevere.value || v.value == leastSevere.value && v.expires.Before(leastSevere.expires) {
			victim, leastSevere, found = f, v, true
		}
	}
	delete(l.verdicts, victim)
	l.state.Evicted++
}
