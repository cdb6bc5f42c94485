package backend

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// oldestReading bounds the age of a clock reading, so that a difference of the
// clock rates of 1% shifts a grant by 20 ms at most.
const oldestReading = 2 * time.Second

// clock converts local times to the server's monotonic clock.
type clock struct {
	mu      sync.Mutex
	reading reading
}

// reading is a value of the server's clock and when it was received. The server
// read its clock earlier, so a time converted with it is never too late.
type reading struct {
	incarnation int64
	value       time.Duration
	received    time.Time
}

// note takes the reading from an answer, if it has one.
func (k *clock) note(h http.Header, now time.Time) {
	text := h.Get(headerClock)
	if text == "" {
		return
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return
	}
	incarnation, _ := strconv.ParseInt(h.Get(headerIncarnation), 10, 64)
	n := reading{incarnation, time.Duration(value), now}
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.reading
	// An answer that took longer gives a worse reading.
	if old.incarnation != n.incarnation || now.Sub(old.received) > oldestReading || old.at(now) < n.value {
		k.reading = n
	}
}

// current returns the best reading, unless it is too old.
func (k *clock) current(now time.Time) (reading, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reading, !k.reading.received.IsZero() && now.Sub(k.reading.received) <= oldestReading
}

// at converts a local time.
func (r reading) at(t time.Time) time.Duration {
	return r.value + t.Sub(r.received)
}
