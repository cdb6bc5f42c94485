package cluster

import (
	"sync"

	"bramleystand.org/entry/internal/ownership"
	"bramleystand.org/entry/internal/replica"
	"bramleystand.org/entry/internal/report"
)

// mostEncoded bounds the encoded tables that are kept; followers that lag behind by more get
// theirs made again.
const mostEncoded = 8

// encodedUpdates keeps the encoded forms of tables and of large objects, so that they are made once
// for all followers. It is safe for concurrent use; no other lock is taken under its own.
type encodedUpdates struct {
	mu     sync.Mutex
	all    []report.Object
	packed []report.Object
}

// object returns a table as it is sent to a follower that has an earlier one, or none.
func (d *encodedUpdates) object(earlier, t *ownership.Table) (report.Object, error) {
	base := uint64(0)
	if earlier != nil {
		base = earlier.Revision
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range d.all {
		if o.Name == t.Service && o.Base == base && o.Revision == t.Revision {
			return o, nil
		}
	}
	o := report.Object{Kind: replica.KindTables, Name: t.Service, Revision: t.Revision, Base: base}
	var err error
	if earlier == nil {
		o.Data, err = ownership.Encode(t)
	} else {
		o.Data, err = ownership.Diff(earlier, t)
	}
	if err != nil {
		return report.Object{}, err
	}
	if len(d.all) == mostEncoded {
		d.all = d.all[1:]
	}
	d.all = append(d.all, o)
	return o, nil
}
