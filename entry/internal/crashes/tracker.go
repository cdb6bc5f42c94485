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
//	tracker.RecordCrash(f, server)            // at the process that sent the request
//	report.Crashes = tracker.TakeUnreported() // to the coordinator
//	tracker.AddReported(now, received)        // at the coordinator
//	tracker.Block(now, update.BlockedRequests)
//	if tracker.IsBlocked(now, f) {
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

// Tracker holds the crashes that this process has seen and, at the coordinator, those of all
// processes. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// unreported has the crashes that TakeUnreported returns next.
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

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		crashed: make(map[suspect.Fingerprint]bool), histories: make(map[suspect.Fingerprint]*history),
		blocked: make(map[suspect.Fingerprint]time.Time),
	}
}

// RecordCrash records that a server crashed while it ran the request.
func (t *Tracker) RecordCrash(f suspect.Fingerprint, s registry.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.unreported) >= maxRequests || len(t.crashed) >= maxRequests {
		return
	}
	t.crashed[f] = true
	t.unreported = append(t.unreported, Crash{Fingerprint: f, Server: s})
}

// RecordResponse records that a server has answered the request.
func (t *Tracker) RecordResponse(f suspect.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.crashed[f] {
		delete(t.crashed, f)
		t.unreported = append(t.unreported, Crash{Fingerprint: f, Cleared: true})
	}
}

// TakeUnreported returns and removes what was recorded since the last call.
func (t *Tracker) TakeUnreported() []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.unreported
	t.unreported = nil
	return out
}

// AddReported adds the crashes that a process has reported, and blocks a request that has reached
// crashLimit.
func (t *Tracker) AddReported(now time.Time, reported []Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reported {
		if r.Cleared {
			delete(t.histories, r.Fingerprint)
			continue
		}
		h := t.histories[r.Fingerprint]
		if h == nil || now.After(h.expires) {
			if len(t.histories) >= maxRequests {
				t.expire(now)
			}
			h = &history{servers: make(map[registry.Instance]bool)}
			t.histories[r.Fingerprint] = h
		}
		h.servers[r.Server] = true
		h.expires = now.Add(retention)
		if len(h.servers) >= crashLimit {
			t.blocked[r.Fingerprint] = now.Add(retention)
		}
	}
}

// Block blocks the requests that the coordinator has blocked.
func (t *Tracker) Block(now time.Time, list []suspect.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range list {
		if _, ok := t.blocked[f]; !ok {
			t.blocked[f] = now.Add(retention)
		}
	}
}

// IsBlocked reports whether a request must be refused.
func (t *Tracker) IsBlocked(now time.Time, f suspect.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	expires, ok := t.blocked[f]
	if ok && now.After(expires) {
		delete(t.blocked, f)
		return false
	}
	return ok
}

// Blocked returns all blocked requests.
func (t *Tracker) Blocked(now time.Time) []suspect.Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var out []suspect.Fingerprint
	for f := range t.blocked {
		out = append(out, f)
	}
	return out
}

// expire removes crashes and blocked requests that are older than the retention time. The lock
// is held.
func (t *Tracker) expire(now time.Time) {
	for f, h := range t.histories {
		if now.After(h.expires) {
			delete(t.histories, f)
		}
	}
	for f, expires := range t.blocked {
		if now.After(expires) {
			delete(t.blocked, f)
		}
	}
}
