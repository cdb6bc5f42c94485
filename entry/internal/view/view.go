// Package view holds what a process knows of the deployment: the configuration in force,
// the registered servers and the tables of key owners.
//
// Every part only goes forward: an older configuration or table never replaces a newer one.
// Readers take immutable values and need no lock. Changed returns a channel that is closed
// at the next change, for requests that wait for a new owner.
//
// # Usage
//
//	v := view.New()
//	v.SetConfiguration(c)
//	server, ok := v.Server(life)
package view

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"bramleystand.org/common/registry"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/ownership"
)

// leaveDelay is how long the keys of a server that leaves are still sent to it, while the
// coordinator moves them. The platform allows 2 s from the server's notice.
const leaveDelay = 1200 * time.Millisecond

// View is the state of the deployment. It is safe for concurrent use; mu is never held while
// another lock is taken.
type View struct {
	configuration atomic.Pointer[traffic.Configuration]
	servers       atomic.Pointer[Servers]
	tables        atomic.Pointer[map[string]*ownership.Table]

	mu      sync.Mutex
	changed chan struct{}
}

// New returns an empty view.
func New() *View {
	v := &View{changed: make(chan struct{})}
	v.servers.Store(&Servers{byLife: map[registry.Life]*Entry{}, byService: map[string][]registry.Server{}})
	v.tables.Store(&map[string]*ownership.Table{})
	return v
}

// Changed returns a channel that is closed at the next change of servers or tables.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// signal wakes those that wait for a change. The lock is held.
func (v *View) signal() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// SetConfiguration puts a configuration in force unless the present one is newer or the same.
func (v *View) SetConfiguration(c *traffic.Configuration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if old := v.configuration.Load(); old != nil && old.Version >= c.Version {
		return false
	}
	v.configuration.Store(c)
	v.signal()
	return true
}

// Configuration returns the configuration in force, or nil if none is known yet.
func (v *View) Configuration() *traffic.Configuration { return v.configuration.Load() }

// SetTable takes a table unless the present one is newer.
func (v *View) SetTable(t *ownership.Table) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := *v.tables.Load()
	if have := old[t.Service]; have != nil && have.Revision >= t.Revision {
		return false
	}
	next := maps.Clone(old)
	next[t.Service] = t
	v.tables.Store(&next)
	v.signal()
	return true
}

// Table returns the table of a service, or nil.
func (v *View) Table(service string) *ownership.Table { return (*v.tables.Load())[service] }

// Tables returns all tables by service; the map must not be changed.
func (v *View) Tables() map[string]*ownership.Table { return *v.tables.Load() }

// SetServers replaces the list of registered servers. Those that are missing now keep their
// address for the time in which their keys move.
func (v *View) SetServers(now time.Time, list []registry.Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.servers.Store(v.servers.Load().replace(now, list))
	v.signal()
}

// Servers returns the registered servers.
func (v *View) Servers() *Servers { return v.servers.Load() }
