package control_test

import (
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

// Guards against a field that is lost between records and their JSON form on the platform.
func TestCodec(t *testing.T) {
	pair := control.Pair{Service: "seat-desk", DataCentre: "tvm"}
	member := control.Member{Name: "tvm-1", Incarnation: 1 << 60, DataCentre: "tvm", Address: netip.MustParseAddrPort("127.0.0.1:7002")}
	s := control.Succession{Pair: pair, Term: 3, Version: 17, Members: []control.Member{member}}
	data, err := control.EncodeSuccession(s)
	must.NoError(t, err)
	gotSuccession, err := control.DecodeSuccession(data, 17)
	must.NoError(t, err)
	must.Eq(t, s.Members[0].Address.String(), gotSuccession.Members[0].Address.String())
	must.True(t, s.Members[0] == gotSuccession.Members[0])
	must.Eq(t, s.Pair, gotSuccession.Pair)
	must.Eq(t, s.Term, gotSuccession.Term)
	must.Eq(t, s.Version, gotSuccession.Version)

	table := control.Table{Pair: pair, Term: 3, Sequence: 1 << 63, Placements: []control.Placement{
		{Upstream: "seat-a", Leaseholder: member, Fence: fence.New(3, 9), Revision: 4, Shards: []shard.Shard{1, 5}},
	}}
	data, err = control.EncodeTable(table)
	must.NoError(t, err)
	gotTable, err := control.DecodeTable(data)
	must.NoError(t, err)
	must.True(t, table.Placements[0].Leaseholder == gotTable.Placements[0].Leaseholder)
	must.Eq(t, table.Placements[0].Shards, gotTable.Placements[0].Shards)
	must.Eq(t, table.Placements[0].Fence, gotTable.Placements[0].Fence)
	must.Eq(t, table.Placements[0].Revision, gotTable.Placements[0].Revision)
	must.Eq(t, table.Sequence, gotTable.Sequence)
	must.Eq(t, table.Term, gotTable.Term)
	must.Eq(t, table.Pair, gotTable.Pair)
}
