// Package coldstart limits the requests to servers that are cold.
//
// A server that has started, or whose data centre comes back into use, is cold for some seconds. It then
// bears few requests a second from all processes together, and ends if it gets many more. The rate is that
// of its service. It is handled like a request limit that the server names itself: the allocator of the
// server's slots keeps to the lower of both, and the coordinator gives the server no more keys than it can
// bear. Which servers are cold is derived from their entries, so that no process has to tell another.
//
// # Usage
//
//	limits := coldstart.New(statements, view)
//	if l := limits.Get(now, instance); l.InForce {
//		scheduler.SetRate(now, l.Rate())
//	}
package coldstart

import (
	"time"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/requestlimit"
	"bramleystand.org/entry/internal/view"
)

// Statements has the request limits that servers name.
type Statements interface {
	// Get returns the latest statement of a server.
	Get(now time.Time, inst registry.Instance) requestlimit.Limit
}

// Limits has the request limits of servers with those of cold ones. It is safe for concurrent use.
type Limits struct {
	statements Statements
	view       *view.View
}

// New returns limits for the servers of a view.
func New(s Statements, v *view.View) *Limits { return &Limits{statements: s, view: v} }

// Get returns the limit of a server: what it has named, or the rate of cold servers if that is lower.
func (l *Limits) Get(now time.Time, inst registry.Instance) requestlimit.Limit {
	named := l.statements.Get(now, inst)
	rate, cold := l.rate(now, inst)
	if !cold || named.InForce && named.Rate() <= rate {
		return named
	}
	return requestlimit.Limit{PerSecond: rate, InForce: true, HeardAt: now}
}

// IsCold reports whether a server is cold and its service limits the requests to such servers.
func (l *Limits) IsCold(now time.Time, inst registry.Instance) bool {
	_, cold := l.rate(now, inst)
	return cold
}

// rate returns the requests a second that a server bears because it is cold, or false if it isn't.
func (l *Limits) rate(now time.Time, inst registry.Instance) (float64, bool) {
	s, ok := l.view.Servers().Get(inst)
	c := l.view.Configuration()
	if !ok || c == nil || !now.Before(s.WarmAt) {
		return 0, false
	}
	rate := c.Services[s.Service].ColdRate
	return rate, rate > 0
}

// Count returns the number of cold servers to which requests are limited.
func (l *Limits) Count(now time.Time) int {
	n := 0
	for _, s := range l.view.Servers().Registered() {
		if l.IsCold(now, s.Instance) {
			n++
		}
	}
	return n
}
