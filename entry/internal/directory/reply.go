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
	for _, key := range in.Wants {
		if i, ok := r.store.get(key); ok {
			r.addItem(i)
		}
	}
	r.compareMarks(in.Recent)
	r.compareMarks(in.Marks)
	if len(in.Covered) == 0 {
		return
	}
	listed := make(map[uint64]bool, len(in.Marks))
	for _, m := range in.Marks {
		listed[m.Key] = true
	}
	for _, b := range in.Covered {
		for key, i := range r.store.items[b%bucketCount] {
			if !listed[key] {
				r.addItem(i)
			}
		}
	}
}

// compareMarks adds the items that are newer here than the marks and asks for those that are newer at the sender.
func (r *reply) compareMarks(marks []control.Mark) {
	for _, m := range marks {
		i, ok := r.store.get(m.Key)
		switch {
		case !ok || m.Newer(i.mark):
			r.out.Wants = append(r.out.Wants, m.Key)
		case i.mark.Newer(m):
			r.addItem(i)
		}
	}
}

// listDifferingBuckets lists the marks of all items in the buckets whose hashes differ from the given ones.
func (r *reply) listDifferingBuckets(hashes []uint64) {
	for b, h := range hashes {
		if h == r.store.hashes[b] {
			continue
		}
		r.out.Covered = append(r.out.Covered, uint16(b))
		for _, i := range r.store.items[b] {
			r.out.Marks = append(r.out.Marks, i.mark)
		}
	}
}

// addItem adds an item unless it is already in the message or would make the message too large.
func (r *reply) addItem(i item) {
	if r.size > 0 && r.size+i.size() > maxMessageBytes || r.added[i.mark.Key] {
		return
	}
	if r.added == nil {
		r.added = map[uint64]bool{}
	}
	r.added[i.mark.Key] = true
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
