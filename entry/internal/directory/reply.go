package directory

import "bramleystand.org/entry/internal/control"

// reply collects the response to one message.
type reply struct {
	store *store
	out   control.Sync
	size  int
	added map[uint64]bool
}

// reconcile adds the items that the sender asks for, lacks or has in older versions, and asks for those of which the
// sender has newer versions.
func (r *reply) reconcile(in control.Sync) {
	for _, key := range in.RequestedKeys {
		if i, ok := r.store.get(key); ok {
			r.addItem(i)
		}
	}
	r.compareVersions(in.RecentVersions)
	r.compareVersions(in.ItemVersions)
	if len(in.ListedBuckets) == 0 {
		return
	}
	listed := make(map[uint64]bool, len(in.ItemVersions))
	for _, m := range in.ItemVersions {
		listed[m.Key] = true
	}
	for _, b := range in.ListedBuckets {
		for key, i := range r.store.items[b%bucketCount] {
			if !listed[key] {
				r.addItem(i)
			}
		}
	}
}

// compareVersions adds the items that are newer here than the given versions and asks for those that are newer at the sender.
func (r *reply) compareVersions(versions []control.ItemVersion) {
	for _, m := range versions {
		i, ok := r.store.get(m.Key)
		switch {
		case !ok || m.Newer(i.version):
			r.out.RequestedKeys = append(r.out.RequestedKeys, m.Key)
		case i.version.Newer(m):
			r.addItem(i)
		}
	}
}

// listDifferingBuckets lists the versions of all items in the buckets whose hashes differ from the given ones.
func (r *reply) listDifferingBuckets(hashes []uint64) {
	for b, h := range hashes {
		if h == r.store.hashes[b] {
			continue
		}
		r.out.ListedBuckets = append(r.out.ListedBuckets, uint16(b))
		for _, i := range r.store.items[b] {
			r.out.ItemVersions = append(r.out.ItemVersions, i.version)
		}
	}
}

// addItem adds an item unless it is already in the message or would make the message too large.
func (r *reply) addItem(i item) {
	if r.size > 0 && r.size+i.size() > maxMessageBytes || r.added[i.version.Key] {
		return
	}
	if r.added == nil {
		r.added = map[uint64]bool{}
	}
	r.added[i.version.Key] = true
	r.size += i.size()
	switch {
	case i.object != nil:
		o := *i.object
		o.Value = i.wireValue
		r.out.Objects = append(r.out.Objects, o)
	case i.table != nil:
		r.out.Tables = append(r.out.Tables, *i.table)
	case i.member != nil:
		r.out.Members = append(r.out.Members, *i.member)
	case i.suspect != nil:
		r.out.Suspects = append(r.out.Suspects, *i.suspect)
	}
}
