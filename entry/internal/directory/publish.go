package directory

import (
	"strings"

	"bramleystand.org/entry/internal/control"
)

// successionOf returns the pair whose succession record is the object of the given name.
func successionOf(object string) (pair control.Pair, ok bool) {
	name, ok := strings.CutPrefix(object, control.SuccessionPrefix)
	if !ok {
		return control.Pair{}, false
	}
	service, centre, ok := strings.Cut(name, "@")
	return control.Pair{Service: service, DataCentre: centre}, ok && service != "" && centre != ""
}

// publish makes the draft visible to lookups and tells the subscribers.
func (d *Directory) publish() {
	if d.draft.stale {
		d.draft.recount(d.self.Member)
	}
	if !d.draft.changed {
		return
	}
	d.draft.reroute()
	d.draft.changed, d.draft.owned = false, false
	d.snapshot.Store(d.draft.clone())
	d.changes.Add(1)
	for c := range d.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
