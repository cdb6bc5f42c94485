package backend

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxReadingAge limits the age of a clock reading, so that a difference of 1% between the
// clock rates shifts the end of a grant by at most 20 ms.
const maxReadingAge = 2 * time.Second

// serverClock converts local times to the server's monotonic clock.
type serverClock struct {
	mu           sync.Mutex
	clockReading clockReading
}

// clockReading is a value of the server's clock and when it was received. The server read
// its clock before that, so a converted time is never too late.
type clockReading struct {
	incarnation int64
	value       time.Duration
	received    time.Time
}

// recordReading takes the clock reading from the header of a response, if it has one and
// the new reading is better than the old one.
func (sc *serverClock) recordReading(h http.Header, now time.Time) {
	text := h.Get(headerClock)
	if text == "" {
		return
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return
	}
	incarnation, _ := strconv.ParseInt(h.Get(headerIncarnation), 10, 64)
	newReading := clockReading{incarnation, time.Duration(value), now}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	oldReading := sc.clockReading
	// The longer a response took to arrive, the further its reading is behind the server's
	// clock. So the old reading is replaced only by one that is further ahead, unless it is
	// too old or of another incarnation.
	if oldReading.incarnation != newReading.incarnation || now.Sub(oldReading.received) > maxReadingAge || oldReading.serverTime(now) < newReading.value {
		sc.clockReading = newReading
	}
}

// bestReading returns the best recorded reading, and false if there is none or it is too old.
func (sc *serverClock) bestReading(now time.Time) (clockReading, bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.clockReading, !sc.clockReading.received.IsZero() && now.Sub(sc.clockReading.received) <= maxReadingAge
}

// serverTime converts a local time to the server's clock.
func (r clockReading) serverTime(t time.Time) time.Duration {
	return r.value + t.Sub(r.received)
}
