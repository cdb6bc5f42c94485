package directory

import "bramleystand.org/entry/internal/control"

// reply collects the answer to one message.
type reply struct {
	store *store
	out   control.Sync
	size  int
	added map[uint64]bool
}

// answer adds the items that the sender asks for or lacks, and asks for those that are newer there.
func (r *reply) answer(in control.Sync) {
	for _, key := range in.Wants {
		if i, ok := r.store.get(key); ok {
			r.add(i)
		}
	}
	r.compare(in.Recent)
	r.compare(in.Marks)
	if len(in.Covered) == 0 {
		return
	}
	listed := make(map[uint64]bool, len(in.Marks))
	for _, m := range in.Marks {
		listed[m.Key] = true
	}
	for _, b := range in.Covered {
		for key, i := range r.store.items[b%buckets] {
			if !listed[key] {
				r.add(i)
			}
		}
	}
}

func (r *reply) compare(marks []control.Mark) {
	for _, m := range marks {
		i, ok := r.store.get(m.Key)
		switch {
		case !ok || m.Newer(i.mark):
			r.out.Wants = append(r.out.Wants, m.Key)
		case i.mark.Newer(m):
			r.add(i)
		}
	}
}

// cover lists the marks of all items in the buckets whose hashes differ.
func (r *reply) cover(hashes []uint64) {
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

func (r *reply) add(i item) {
	if r.size > 0 && r.size+i.size() > maxMessage || r.added[i.mark.Key] {
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
		o.Value = i.packed
		r.out.Objects = append(r.out.Objects, o)
	case i.table != nil:
		r.out.Tables = append(r.out.Tables, *i.table)
	case i.member != nil:
		r.out.Members = append(r.out.Members, *i.member)
	case i.suspect != nil:
		r.out.Suspects = append(r.out.Suspects, *i.suspect)
	}
}
