// Package crashes detects requests that crash the backend servers which run them, across all
// entry processes.
//
// Each process records the requests that a server was running when it crashed, and reports them
// to the coordinator. A request that three servers were running when they crashed is blocked: the
// coordinator tells all processes to refuse it from then on. A harmless request that ran beside
// the cause of a crash is not blocked, because it does not meet three crashes in a row, and its
// count starts again from zero when a server answers it.
//
// # Usage
//
//	ledger.RecordCrash(f, server)       // at the process that sent the request
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
	// crashLimit is the number of crashed servers after which a request is blocked; the platform
	// allows three more runs from then on.
	crashLimit = 3
	// retention is how long crashes count and how long a request stays blocked.
	retention = suspect.Lifetime
	// maxRequests bounds the requests that are stored.
	maxRequests = 4096
)

// Crash is a request that a server was running when it crashed.
type Crash struct {
	Fingerprint suspect.Fingerprint
	Server      registry.Instance
	// Cleared is true if a server has answered the request after an earlier crash. The earlier
	// crashes no longer count, and Server is empty.
	Cleared bool
}

// Ledger holds the crashes that this process has seen and, at the coordinator, those of all
// processes. It is safe for concurrent use.
type Ledger struct {
	mu sync.Mutex
	// unreported has the crashes that Take returns next.
	unreported []Crash
	// crashed has the requests of this process with a crash and no response since then.
	crashed map[suspect.Fingerprint]bool
	// histories has the crashes of all processes by request, and blocked the requests to refuse
	// with the time until which they are refused.
	histories map[suspect.Fingerprint]*history
	blocked   map[suspect.Fingerprint]time.Time
}

// history is the set of servers that crashed while they ran a request.
type history struct {
	servers map[registry.Instance]bool
	expires time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		crashed: make(map[suspect.Fingerprint]bool), histories: make(map[suspect.Fingerprint]*history),
		blocked: make(map[suspect.Fingerprint]time.Time),
	}
}

// RecordCrash records that a server crashed while it ran the request.
func (l *Ledger) RecordCrash(f suspect.Fingerprint, s registry.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.unreported) >= maxRequests || len(l.crashed) >= maxRequests {
		return
	}
	l.crashed[f] = true
	l.unreported = append(l.unreported, Crash{Fingerprint: f, Server: s})
}

// RecordResponse records that a server has answered the request.
func (l *Ledger) RecordResponse(f suspect.Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashed[f] {
		delete(l.crashed, f)
		l.unreported = append(l.unreported, Crash{Fingerprint: f, Cleared: true})
	}
}

// Take returns and removes what was recorded since the last call.
func (l *Ledger) Take() []Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.unreported
	l.unreported = nil
	return out
}

// Note adds the crashes that a process has reported, and blocks a request that has reached
// crashLimit.
func (l *Ledger) Note(now time.Time, reported []Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reported {
		if r.Cleared {
			delete(l.histories, r.Fingerprint)
			continue
		}
		h := l.histories[r.Fingerprint]
		if h == nil || now.After(h.expires) {
			if len(l.histories) >= maxRequests {
				l.expire(now)
			}
			h = &history{servers: make(map[registry.Instance]bool)}
			l.histories[r.Fingerprint] = h
		}
		h.servers[r.Server] = true
		h.expires = now.Add(retention)
		if len(h.servers) >= crashLimit {
			l.blocked[r.Fingerprint] = now.Add(retention)
		}
	}
}

// Condemn blocks the requests that the coordinator has blocked.
func (l *Ledger) Condemn(now time.Time, list []suspect.Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range list {
		if _, ok := l.blocked[f]; !ok {
			l.blocked[f] = now.Add(retention)
		}
	}
}

// IsBlocked reports whether a request must be refused.
func (l *Ledger) IsBlocked(now time.Time, f suspect.Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	expires, ok := l.blocked[f]
	if ok && now.After(expires) {
		delete(l.blocked, f)
		return false
	}
	return ok
}

// Verdicts returns all blocked requests.
func (l *Ledger) Verdicts(now time.Time) []suspect.Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var out []suspect.Fingerprint
	for f := range l.blocked {
		out = append(out, f)
	}
	return out
}

// expire removes crashes and blocked requests that are older than the retention time. The lock
// is held.
func (l *Ledger) expire(now time.Time) {
	for f, h := range l.histories {
		if now.After(h.expires) {
			delete(l.histories, f)
		}
	}
	for f, expires := range l.blocked {
		if now.After(expires) {
			delete(l.blocked, f)
		}
	}
}
