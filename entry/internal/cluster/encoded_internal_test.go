package cluster

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/ownership"
	"bramleystand.org/entry/internal/replica"
	"bramleystand.org/entry/internal/view"
)

// table returns a table with one range and one holder.
func table(revision uint64, server string) *ownership.Table {
	return &ownership.Table{Service: "s", Revision: revision, Assignments: []ownership.Assignment{{
		Range: keyspace.Range{Last: keyspace.Last}, Holders: []ownership.Server{{Instance: registry.Instance{ID: server}}},
	}}}
}

// Guards against a follower that applies a difference to the wrong table, and against one that
// continues with a stream from which a table is missing.
func TestEncodedUpdates(t *testing.T) {
	v := view.New()
	logger := &log.Logger{Handler: discard.New()}
	n := &Node{view: v, replica: replica.New(v, logger), logger: logger, received: make(map[string]*ownership.Table)}
	d := &encodedUpdates{}
	first, second, third := table(3, "a"), table(5, "b"), table(8, "c")
	whole, err := d.encodeTable(nil, first)
	must.NoError(t, err)
	next, err := d.encodeTable(first, second)
	must.NoError(t, err)
	last, err := d.encodeTable(second, third)
	must.NoError(t, err)
	must.ErrorIs(t, n.applyTable(next), errUnknownBase)
	must.NoError(t, n.applyTable(whole))
	must.ErrorIs(t, n.applyTable(last), errUnknownBase)
	must.NoError(t, n.applyTable(next))
	must.NoError(t, n.applyTable(last))
	must.Eq(t, third, v.Table("s"))
	// An older table on a new stream changes nothing, and differences to it are still applied.
	clear(n.received)
	must.NoError(t, n.applyTable(whole))
	must.Eq(t, 8, v.Table("s").Revision)
	must.NoError(t, n.applyTable(next))
	must.Eq(t, 8, v.Table("s").Revision)
	again, err := d.encodeTable(first, second)
	must.NoError(t, err)
	must.Eq(t, next, again)
	must.Len(t, 3, d.tables)
}
