package cluster

import (
	"sync"

	"bramleystand.org/entry/internal/ownership"
	"bramleystand.org/entry/internal/replica"
	"bramleystand.org/entry/internal/report"
)

// maxEncodedTables bounds the encoded tables that are kept. For followers that are further behind,
// the tables are encoded again.
const maxEncodedTables = 32

// encodedUpdates caches encoded tables and compressed objects, so that each is made once for all
// followers. It is safe for concurrent use; no other lock is taken while its own is held.
type encodedUpdates struct {
	mu         sync.Mutex
	tables     []report.Object
	compressed []report.Object
	bundles    map[span][]report.Object
}

// encodeTable returns a table as it is sent to a follower that has an earlier one, or none.
func (d *encodedUpdates) encodeTable(earlier, t *ownership.Table) (report.Object, error) {
	base := uint64(0)
	if earlier != nil {
		base = earlier.Revision
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range d.tables {
		if o.Name == t.Service && o.BaseRevision == base && o.Revision == t.Revision {
			return o, nil
		}
	}
	o := report.Object{Kind: replica.KindTables, Name: t.Service, Revision: t.Revision, BaseRevision: base}
	var err error
	if earlier == nil {
		o.Data, err = ownership.Encode(t)
	} else {
		o.Data, err = ownership.Diff(earlier, t)
	}
	if err != nil {
		return report.Object{}, err
	}
	if o, err = compressed(o); err != nil {
		return report.Object{}, err
	}
	if len(d.tables) == maxEncodedTables {
		d.tables = d.tables[1:]
	}
	d.tables = append(d.tables, o)
	return o, nil
}
