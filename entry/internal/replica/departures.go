package replica

import (
	"time"

	"github.com/apex/log"

	"bramleystand.org/common/registry"
	"bramleystand.org/platform"
)

const (
	// departureMemory is how long a departed instance is remembered. A restored copy of the store is
	// some seconds old.
	departureMemory = time.Minute
	// maxDepartures limits the departed instances that are remembered.
	maxDepartures = 4096
	// returnDelay is how long the outdated entry of a departed instance is ignored. The store removes
	// an entry that nobody writes for three ping intervals, which is 2.6 s, so one that stays longer is
	// that of a running server. The store may not report a write that changes only the sequence.
	returnDelay = 5 * time.Second
)

// departure is the latest known state of an instance that was removed or replaced.
type departure struct {
	server registry.Server
	// confirmed is false if the entry may have been missing only because of an outage or was invalid.
	confirmed bool
	forgetAt  time.Time
}

// returningServer is a departed instance that has an outdated entry in the store.
type returningServer struct {
	instance registry.Instance
	// admitAt is when the entry counts as that of a running server.
	admitAt time.Time
}

// outdates reports whether an entry of the instance does not show that it still runs. An instance that
// was draining never returns.
func (d departure) outdates(s registry.Server) bool {
	return d.server.Draining || d.confirmed && s.Sequence <= d.server.Sequence
}

// latest returns the state of an instance after an entry, given its state before. Draining is final. The
// entry states the remaining warm-up time as of its last change, so the first value is kept, unless a later
// entry states so much more that the server must have become cold again.
func latest(known, s registry.Server) registry.Server {
	if s.Incarnation == 0 {
		// Sequences of an unknown incarnation can't be compared.
		s.WarmAt = known.WarmAt
		return s
	}
	if s.Sequence < known.Sequence {
		return known
	}
	s.Draining = s.Draining || known.Draining
	if s.Sequence == known.Sequence || s.WarmAt.Sub(known.WarmAt) < coldAgainTime {
		s.WarmAt = known.WarmAt
	}
	return s
}

// coldAgainTime is how much later than known a server must become warm to count as cold again. Entries that
// were written during one warm-up differ by the age of their last change, about a heartbeat.
const coldAgainTime = time.Second

// removeServer removes a server and remembers its state. The lock is held.
func (r *Replica) removeServer(now time.Time, name string, confirmed bool) {
	s, ok := r.servers[name]
	if !ok {
		return
	}
	delete(r.servers, name)
	delete(r.missing, name)
	if s.Incarnation == 0 {
		return
	}
	if len(r.departed) >= maxDepartures {
		r.forgetOldestDeparture()
	}
	r.departed[s.Instance] = departure{server: s, confirmed: confirmed, forgetAt: now.Add(departureMemory)}
}

// holdBack ignores the outdated entry of a departed instance for returnDelay. The lock is held.
func (r *Replica) holdBack(now time.Time, s registry.Server) {
	if r.returning[s.ID].instance == s.Instance {
		return
	}
	r.returning[s.ID] = returningServer{instance: s.Instance, admitAt: now.Add(returnDelay)}
	r.logger.WithFields(log.Fields{"server": s.ID, "incarnation": s.Incarnation, "sequence": s.Sequence}).Info("outdated entry of a departed server ignored")
}

// admitReturning puts departed instances in use whose entries have stayed in the store, and reports
// whether there were any. An entry can't be known to have stayed while the store is unreachable. The
// lock is held.
func (r *Replica) admitReturning(now time.Time) bool {
	if now.Sub(r.lastOutage) < returnDelay {
		return false
	}
	changed := false
	for name, returning := range r.returning {
		d, ok := r.departed[returning.instance]
		if d.server.Draining || now.Before(returning.admitAt) {
			continue
		}
		if ok {
			d.confirmed = false
			r.departed[returning.instance] = d
		}
		r.updateServer(now, r.objects[platform.KindServers][name])
		changed = true
	}
	return changed
}

// forgetDepartures forgets the departures that are too old to matter. The lock is held.
func (r *Replica) forgetDepartures(now time.Time) {
	for instance, d := range r.departed {
		if !now.Before(d.forgetAt) && r.returning[instance.ID].instance != instance {
			delete(r.departed, instance)
		}
	}
}

// forgetOldestDeparture makes room for another departure. The lock is held.
func (r *Replica) forgetOldestDeparture() {
	var oldest registry.Instance
	var forgetAt time.Time
	for instance, d := range r.departed {
		if forgetAt.IsZero() || d.forgetAt.Before(forgetAt) {
			oldest, forgetAt = instance, d.forgetAt
		}
	}
	delete(r.departed, oldest)
}
