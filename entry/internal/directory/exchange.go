package directory

import (
	"time"

	"bramleystand.org/entry/internal/control"
)

// maxMessageBytes bounds the size of the items in one message; further items follow in the next round.
const maxMessageBytes = 512 << 10

// Digest returns the first message of an exchange: the hash of all items and the versions received in the last seconds.
func (d *Directory) Digest(now time.Time) control.Sync {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeExpired(now)
	return control.Sync{Hash: d.store.hash(), RecentVersions: d.store.recentVersions(now)}
}

// Offer stores the newer items of a message and returns the response to it.
func (d *Directory) Offer(now time.Time, in control.Sync) control.Sync {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeExpired(now)
	d.putReceived(now, in)
	b := messageBuilder{store: &d.store, out: control.Sync{Hash: d.store.hash()}}
	if b.out.Hash == in.Hash {
		return b.out
	}
	b.reconcile(in)
	if len(in.Buckets) == bucketCount {
		b.listDifferingBuckets(in.Buckets)
	} else {
		b.out.RecentVersions = excludeVersions(d.store.recentVersions(now), in.RecentVersions)
	}
	return b.out
}

// Merge stores the newer items of a response. It returns the next message of the
// exchange, and false if both sides hold the same or nothing more can be exchanged.
func (d *Directory) Merge(now time.Time, in control.Sync) (next control.Sync, more bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeExpired(now)
	d.putReceived(now, in)
	b := messageBuilder{store: &d.store, out: control.Sync{Hash: d.store.hash()}}
	if b.out.Hash == in.Hash {
		return control.Sync{}, false
	}
	b.reconcile(in)
	if b.size > 0 || len(b.out.RequestedKeys) > 0 {
		return b.out, true
	}
	if len(in.ListedBuckets) > 0 {
		return control.Sync{}, false
	}
	b.out.Buckets = append([]uint64(nil), d.store.hashes[:]...)
	return b.out, true
}

// putReceived stores the newer items of a message.
func (d *Directory) putReceived(now time.Time, in control.Sync) {
	changedAny := false
	for _, o := range in.Objects {
		// An object whose value can't be decompressed is left out; another member or the platform has it too.
		if i, err := receivedItem(o); err == nil {
			changedAny = d.put(now, i) || changedAny
		}
	}
	for _, t := range in.Tables {
		changedAny = d.put(now, tableItem(t)) || changedAny
	}
	for _, a := range in.Members {
		changedAny = d.put(now, memberItem(a)) || changedAny
	}
	for _, s := range in.Suspects {
		changedAny = d.put(now, suspectItem(s)) || changedAny
	}
	if changedAny {
		d.publish()
	}
}

// excludeVersions returns the versions that are not in known.
func excludeVersions(versions, known []control.ItemVersion) []control.ItemVersion {
	set := make(map[control.ItemVersion]bool, len(known))
	for _, m := range known {
		set[m] = true
	}
	var rest []control.ItemVersion
	for _, m := range versions {
		if !set[m] {
			rest = append(rest, m)
		}
	}
	return rest
}
