// Package crashes finds requests that crash the backend servers that run them, over all entry
// processes.
//
// Each process notes the requests that were at a server when it crashed and reports them to the
// coordinator. A request that was at three servers when they crashed is condemned; the
// coordinator tells all processes, which refuse it from then on. A request that was only near
// a crash does not meet three in a row, and one that is answered meanwhile starts anew.
//
// # Usage
//
//	ledger.RecordCrash(f, server)           // at the process that sent the request
//	report.Crashes = ledger.Take()      // to the coordinator
//	ledger.Note(now, received)          // at the coordinator
//	ledger.Condemn(now, update.Condemned)
//	if ledger.IsBlocked(now, f) {
//		// Refuse the request.
//	}
package crashes

import (
	"sync"
	"time"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/suspect"
)

const (
	// limit is the number of servers after which a request is condemned; the platform allows
	// three more runs from then on.
	limit = 3
	// memory is how long crashes count and a verdict holds.
	memory = suspect.Lifetime
	// most bounds the requests that are remembered.
	most = 4096
)

// Crash is a request that was at a server when it crashed.
type Crash struct {
	Fingerprint suspect.Fingerprint
	Server      registry.Life
	// Cleared is true if the request was answered instead, after an earlier crash.
	Cleared bool
}

// Ledger keeps the crashes of one process and, at the coordinator, of all. It is safe for
// concurrent use.
type Ledger struct {
	mu        sync.Mutex
	unsent    []Crash
	own       map[suspect.Fingerprint]bool
	counts    map[suspect.Fingerprint]*count
	condemned map[suspect.Fingerprint]time.Time
}

// count is the servers that crashed with a request.
type count struct {
	servers map[registry.Life]bool
	until   time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		own: make(map[suspect.Fingerprint]bool), counts: make(map[suspect.Fingerprint]*count),
		condemned: make(map[suspect.Fingerprint]time.Time),
	}
}

// RecordCrash records that a server crashed while it had the request.
func (l *Ledger) RecordCrash(f suspect.Fingerprint, s registry.Life) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.unsent) >= most || len(l.own) >= most {
		return
	}
	l.own[f] = true
	l.unsent = append(l.unsent, Crash{Fingerprint: f, Server: s})
}

// RecordResponse records that a server has answered the request.
func (l *Ledger) RecordResponse(f suspect.Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own[f] {
		delete(l.own, f)
		l.unsent = append(l.unsent, Crash{Fingerprint: f, Cleared: true})
	}
}

// Take returns what was noted since the last call.
func (l *Ledger) Take() []Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.unsent
	l.unsent = nil
	return out
}

// Note adds the crashes that a process has reported.
func (l *Ledger) Note(now time.Time, reported []Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reported {
		if r.Cleared {
			delete(l.counts, r.Fingerprint)
			continue
		}
		c := l.counts[r.Fingerprint]
		if c == nil || now.After(c.until) {
			if len(l.counts) >= most {
				l.expire(now)
			}
			c = &count{servers: make(map[registry.Life]bool)}
			l.counts[r.Fingerprint] = c
		}
		c.servers[r.Server] = true
		c.until = now.Add(memory)
		if len(c.servers) >= limit {
			l.condemned[r.Fingerprint] = now.Add(memory)
		}
	}
}

// Condemn takes verdicts of the coordinator.
func (l *Ledger) Condemn(now time.Time, list []suspect.Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range list {
		if _, ok := l.condemned[f]; !ok {
			l.condemned[f] = now.Add(memory)
		}
	}
}

// IsBlocked reports whether a request must be refused.
func (l *Ledger) IsBlocked(now time.Time, f suspect.Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	until, ok := l.condemned[f]
	if ok && now.After(until) {
		delete(l.condemned, f)
		return false
	}
	return ok
}

// Verdicts returns all condemned requests.
func (l *Ledger) Verdicts(now time.Time) []suspect.Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var out []suspect.Fingerprint
	for f := range l.condemned {
		out = append(out, f)
	}
	return out
}

// expire forgets what is too old. The lock is held.
func (l *Ledger) expire(now time.Time) {
	for f, c := range l.counts {
		if now.After(c.until) {
			delete(l.counts, f)
		}
	}
	for f, until := range l.condemned {
		if now.After(until) {
			delete(l.condemned, f)
		}
	}
}
