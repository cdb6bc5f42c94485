// Package view holds the state of the deployment as a process knows it: the configuration in force,
// the registered servers and the ownership tables.
//
// An older configuration or table never replaces a newer one. Readers get immutable values and need
// no lock. Requests that wait for a new owner of their key wait for the channel that Changed returns.
//
// # Usage
//
//	v := view.New()
//	v.SetConfiguration(c)
//	v.SetServers(now, servers)
//	server, ok := v.Servers().Find(now, instance)
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

// leaveGrace is how long requests for the keys of a server that leaves are still sent to it, while the
// coordinator moves the keys. The platform allows 2 s from the server's notice that it leaves.
const leaveGrace = 1200 * time.Millisecond

// View is the state of the deployment. It is safe for concurrent use; no other lock is acquired
// while mu is held.
type View struct {
	configuration atomic.Pointer[traffic.Configuration]
	servers       atomic.Pointer[Servers]
	tables        atomic.Pointer[map[string]*ownership.Table]

	mu      sync.Mutex
	changed chan struct{}
	// leaving holds the servers that have stated that they leave, with the time of the first statement.
	leaving map[registry.Instance]time.Time
	// ended holds the servers at whose address another one has answered, with the time at which it did.
	ended map[registry.Instance]time.Time
	// listed is the latest list of registered servers as SetServers got it.
	listed []registry.Server
	// evacuations holds the evacuated data centres and those whose evacuation has ended lately.
	evacuations evacuations
}

const (
	// maxLeaving limits the servers whose statements that they leave are remembered.
	maxLeaving = 1024
	// maxEnded limits the servers that are remembered as ended.
	maxEnded = 1024
	// endedTime is how long a server counts as ended. By then its entry is gone, unless the store is down or
	// the answer was wrong.
	endedTime = 10 * time.Second
)

// New returns a view without configuration, servers and tables.
func New() *View {
	v := &View{changed: make(chan struct{}), leaving: make(map[registry.Instance]time.Time), ended: make(map[registry.Instance]time.Time), evacuations: newEvacuations()}
	v.servers.Store(&Servers{byInstance: map[registry.Instance]*TrackedServer{}, byService: map[string][]registry.Server{}})
	v.tables.Store(&map[string]*ownership.Table{})
	return v
}

// Changed returns a channel that is closed at the next change of the configuration, servers or tables.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// notifyChange wakes the callers that wait for a change. The lock is held.
func (v *View) notifyChange() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// SetConfiguration puts a configuration in force if its version is higher than that of the current one,
// and reports whether it has done so.
func (v *View) SetConfiguration(c *traffic.Configuration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if old := v.configuration.Load(); old != nil && old.Version >= c.Version {
		return false
	}
	v.configuration.Store(c)
	v.notifyChange()
	return true
}

// Configuration returns the configuration in force, or nil if none is known yet.
func (v *View) Configuration() *traffic.Configuration { return v.configuration.Load() }

// SetTable replaces the table of a service if the given one is newer, and reports whether it has
// done so.
func (v *View) SetTable(t *ownership.Table) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := *v.tables.Load()
	if !t.NewerThan(old[t.Service]) {
		return false
	}
	next := maps.Clone(old)
	next[t.Service] = t
	v.tables.Store(&next)
	v.notifyChange()
	return true
}

// Table returns the table of a service, or nil.
func (v *View) Table(service string) *ownership.Table { return (*v.tables.Load())[service] }

// Tables returns all tables by service; the map must not be changed.
func (v *View) Tables() map[string]*ownership.Table { return *v.tables.Load() }

// SetServers replaces the list of registered servers. Servers that are no longer in the list can
// still be found for leaveGrace, while their keys move.
func (v *View) SetServers(now time.Time, list []registry.Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listed = list
	v.updateServers(now)
}

// SetEvacuations replaces the list of evacuated data centres and reports which have been added and which
// removed. The servers of an evacuated data centre count as draining: requests for their keys are sent to
// them for the given grace at most, and no others.
func (v *View) SetEvacuations(now time.Time, centres []string, grace time.Duration) (begun, ended []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	begun, ended = v.evacuations.set(now, centres, grace)
	if len(begun)+len(ended) > 0 {
		v.updateServers(now)
	}
	return begun, ended
}

// Evacuated returns the evacuated data centres in alphabetical order.
func (v *View) Evacuated() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.evacuations.list()
}

// updateServers derives the set of servers from the latest list of registered ones. The lock is held.
func (v *View) updateServers(now time.Time) {
	registered := v.evacuations.withColdReturns(now, v.listed)
	replaced := endedServers(registered, v.configuration.Load())
	ended := func(s registry.Server) bool {
		at, answered := v.ended[s.Instance]
		return answered && now.Sub(at) < endedTime || replaced(s)
	}
	v.servers.Store(v.servers.Load().update(now, registered, v.leaving, v.evacuations.usableUntil, ended))
	v.notifyChange()
}

// SetEnded records that another server has answered at the address of a server, and reports whether that is
// new. The server gets no more requests from then on, whatever its entry says.
func (v *View) SetEnded(now time.Time, inst registry.Instance) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at, known := v.ended[inst]; known && now.Sub(at) < endedTime {
		return false
	}
	maps.DeleteFunc(v.ended, func(_ registry.Instance, at time.Time) bool { return now.Sub(at) >= endedTime })
	if len(v.ended) >= maxEnded {
		return false
	}
	v.ended[inst] = now
	v.updateServers(now)
	return true
}

// EndedAt returns when another server has answered at the address of a server, or false if none has lately.
func (v *View) EndedAt(now time.Time, inst registry.Instance) (time.Time, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	at, ok := v.ended[inst]
	return at, ok && now.Sub(at) < endedTime
}

// SetLeaving records that a server has stated that it leaves, and reports whether that is new. The server
// counts as draining from then on, whatever its entry says.
func (v *View) SetLeaving(now time.Time, inst registry.Instance) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known := v.leaving[inst]; known {
		return false
	}
	if len(v.leaving) >= maxLeaving {
		v.forgetLeaving()
	}
	v.leaving[inst] = now
	v.updateServers(now)
	return true
}

// forgetLeaving makes room for another statement. It forgets the oldest one of a server that is no longer
// known, or else the oldest one. The lock is held.
func (v *View) forgetLeaving() {
	servers := v.servers.Load()
	var oldest registry.Instance
	var oldestAt time.Time
	oldestTracked := true
	for inst, at := range v.leaving {
		tracked := servers.IsTracked(inst)
		if oldestAt.IsZero() || oldestTracked && !tracked || oldestTracked == tracked && at.Before(oldestAt) {
			oldest, oldestAt, oldestTracked = inst, at, tracked
		}
	}
	delete(v.leaving, oldest)
}

// Servers returns the registered servers and those that left less than leaveGrace ago.
func (v *View) Servers() *Servers { return v.servers.Load() }
