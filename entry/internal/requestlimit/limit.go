package requestlimit

import (
	"math"
	"time"
)

// Limit is the request limit of a server as its responses last stated it. The zero value means that no
// response has named one.
type Limit struct {
	// PerSecond is the number of requests a second that the server takes from all processes together.
	PerSecond float64
	// InForce is false once the server has stopped naming a limit.
	InForce bool
	// HeardAt is when the response that stated this arrived.
	HeardAt time.Time
}

const (
	// minRate is the rate in requests a second to a server that takes fewer or none, because only the
	// response to a request shows that the server takes more again.
	minRate = 0.25
	// currentTime is how long after the last response that named it a limit guides the choice of servers.
	// A server that is avoided for longer is tried again.
	currentTime = 10 * time.Second
)

// Rate returns the requests a second that may be sent to a server with the limit.
func (l Limit) Rate() float64 { return max(l.PerSecond, minRate) }

// IsCurrent reports whether the limit is in force and was named not long ago.
func (l Limit) IsCurrent(now time.Time) bool { return l.InForce && now.Sub(l.HeardAt) < currentTime }

// Interval returns the mean time between two requests to a server with the limit.
func (l Limit) Interval() time.Duration {
	return time.Duration(float64(time.Second) / l.Rate())
}

// Reading is what one response says about the request limit of its server.
type Reading struct {
	// PerSecond is the limit if Named is true.
	PerSecond float64
	Named     bool
	// Silent is true if the response shows that the server names no limit. A response without proof of
	// its server, or one that rejects the request, shows nothing.
	Silent bool
}

// IsValid reports whether a number of requests a second can be a limit.
func IsValid(perSecond float64) bool {
	return perSecond >= 0 && !math.IsInf(perSecond, 1)
}

// after returns the limit after a response that has arrived now to a request sent at the given time.
// Responses may overtake each other, so one to a request that was sent before the limit was last heard
// may be older than the limit: it does not end the limit and does not raise it.
func (l Limit) after(now, sent time.Time, r Reading) Limit {
	maybeOlder := l.InForce && !sent.After(l.HeardAt)
	switch {
	case r.Named && maybeOlder:
		return Limit{PerSecond: min(l.PerSecond, r.PerSecond), InForce: true, HeardAt: now}
	case r.Named:
		return Limit{PerSecond: r.PerSecond, InForce: true, HeardAt: now}
	case r.Silent && l.InForce && !maybeOlder:
		return Limit{HeardAt: now}
	}
	return l
}
