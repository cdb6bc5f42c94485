package directory

import "bramleystand.org/entry/internal/control"

// messageBuilder collects the items and versions for the next message of an exchange.
type messageBuilder struct {
	store *store
	out   control.Sync
	size  int
	added map[uint64]bool
}

// reconcile adds the items that the sender asks for, lacks or has in older versions, and asks for those of which the
// sender has newer versions.
func (b *messageBuilder) reconcile(in control.Sync) {
	for _, key := range in.RequestedKeys {
		if i, ok := b.store.get(key); ok {
			b.addItem(i)
		}
	}
	b.compareVersions(in.RecentVersions)
	b.compareVersions(in.ItemVersions)
	if len(in.ListedBuckets) == 0 {
		return
	}
	listed := make(map[uint64]bool, len(in.ItemVersions))
	for _, m := range in.ItemVersions {
		listed[m.Key] = true
	}
	for _, bucket := range in.ListedBuckets {
		for key, i := range b.store.items[bucket%bucketCount] {
			if !listed[key] {
				b.addItem(i)
			}
		}
	}
}

// compareVersions adds the items that are newer here than the given versions and asks for those that are newer at the
// sender.
func (b *messageBuilder) compareVersions(versions []control.ItemVersion) {
	for _, m := range versions {
		i, ok := b.store.get(m.Key)
		switch {
		case !ok || m.Newer(i.version):
			b.out.RequestedKeys = append(b.out.RequestedKeys, m.Key)
		case i.version.Newer(m):
			b.addItem(i)
		}
	}
}

// listDifferingBuckets lists the versions of all items in the buckets whose hashes differ from the given ones.
func (b *messageBuilder) listDifferingBuckets(hashes []uint64) {
	for bucket, h := range hashes {
		if h == b.store.hashes[bucket] {
			continue
		}
		b.out.ListedBuckets = append(b.out.ListedBuckets, uint16(bucket))
		for _, i := range b.store.items[bucket] {
			b.out.ItemVersions = append(b.out.ItemVersions, i.version)
		}
	}
}

// addItem adds an item unless it is already in the message or would make the message too large.
func (b *messageBuilder) addItem(i item) {
	if b.size > 0 && b.size+i.size() > maxMessageBytes || b.added[i.version.Key] {
		return
	}
	if b.added == nil {
		b.added = map[uint64]bool{}
	}
	b.added[i.version.Key] = true
	b.size += i.size()
	switch {
	case i.object != nil:
		o := *i.object
		o.Value = i.wireValue
		b.out.Objects = append(b.out.Objects, o)
	case i.table != nil:
		b.out.Tables = append(b.out.Tables, *i.table)
	case i.member != nil:
		b.out.Members = append(b.out.Members, *i.member)
	case i.suspect != nil:
		b.out.Suspects = append(b.out.Suspects, *i.suspect)
	}
}
