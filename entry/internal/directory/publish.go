package directory

import (
	"strings"

	"bramleystand.org/entry/internal/control"
)

// successionPair returns the pair whose succession record has the given object name.
func successionPair(object string) (pair control.Pair, ok bool) {
	name, ok := strings.CutPrefix(object, control.SuccessionPrefix)
	if !ok {
		return control.Pair{}, false
	}
	service, centre, ok := strings.Cut(name, "@")
	return control.Pair{Service: service, DataCentre: centre}, ok && service != "" && centre != ""
}

// publish makes the collected changes visible to lookups and notifies the subscribers.
func (d *Directory) publish() {
	if d.pendingSnapshot.liveStale {
		d.pendingSnapshot.recomputeLive(d.self.Member)
	}
	if !d.pendingSnapshot.changed {
		return
	}
	d.pendingSnapshot.recomputeRoutes()
	d.pendingSnapshot.changed, d.pendingSnapshot.membersOwned = false, false
	d.snapshot.Store(d.pendingSnapshot.clone())
	d.changeCount.Add(1)
	for c := range d.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
