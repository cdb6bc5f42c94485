package directory

import (
	"time"

	"bramleystand.org/entry/internal/control"
)

// maxMessage bounds the items in one message in bytes; further items follow in the next round.
const maxMessage = 512 << 10

// Digest returns the first message of an exchange.
func (d *Directory) Digest(now time.Time) control.Sync {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	return control.Sync{Hash: d.store.hash(), Recent: d.store.recentMarks(now)}
}

// Offer takes the newer items of a message and returns the answer to it.
func (d *Directory) Offer(now time.Time, in control.Sync) control.Sync {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	d.take(now, in)
	r := reply{store: &d.store, out: control.Sync{Hash: d.store.hash()}}
	if r.out.Hash == in.Hash {
		return r.out
	}
	r.answer(in)
	if len(in.Buckets) == buckets {
		r.cover(in.Buckets)
	} else {
		r.out.Recent = without(d.store.recentMarks(now), in.Recent)
	}
	return r.out
}

// Merge takes the newer items of an answer. It returns the next message of the
// exchange, and false if both sides hold the same or nothing more can be exchanged.
func (d *Directory) Merge(now time.Time, in control.Sync) (next control.Sync, more bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	d.take(now, in)
	r := reply{store: &d.store, out: control.Sync{Hash: d.store.hash()}}
	if r.out.Hash == in.Hash {
		return control.Sync{}, false
	}
	r.answer(in)
	if r.size > 0 || len(r.out.Wants) > 0 {
		return r.out, true
	}
	if len(in.Covered) > 0 {
		return control.Sync{}, false
	}
	r.out.Buckets = append([]uint64(nil), d.store.hashes[:]...)
	return r.out, true
}

// take stores the newer items of a message.
func (d *Directory) take(now time.Time, in control.Sync) {
	took := false
	for _, o := range in.Objects {
		// A broken value is left out; another member or the platform has it too.
		if i, err := receivedItem(o); err == nil {
			took = d.put(now, i) || took
		}
	}
	for _, t := range in.Tables {
		took = d.put(now, tableItem(t)) || took
	}
	for _, a := range in.Members {
		took = d.put(now, memberItem(a)) || took
	}
	for _, s := range in.Suspects {
		took = d.put(now, suspectItem(s)) || took
	}
	if took {
		d.publish()
	}
}

// without returns the marks that are not in known.
func without(marks, known []control.Mark) []control.Mark {
	set := make(map[control.Mark]bool, len(known))
	for _, m := range known {
		set[m] = true
	}
	var rest []control.Mark
	for _, m := range marks {
		if !set[m] {
			rest = append(rest, m)
		}
	}
	return rest
}
