package control

import (
	"encoding/json"
	"fmt"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/settings"
	"bramleystand.org/common/shard"
)

// TablePrefix is the name prefix of platform objects that hold routing tables.
const TablePrefix = "assignments/"

// tableJSON is the stored form of a Table.
type tableJSON struct {
	Service    string          `json:"service"`
	Centre     string          `json:"centre"`
	Term       uint32          `json:"term"`
	Sequence   uint64          `json:"sequence"`
	Placements []placementJSON `json:"placements"`
}

// placementJSON is the stored form of a Placement.
type placementJSON struct {
	Upstream    string     `json:"upstream"`
	Leaseholder memberJSON `json:"leaseholder"`
	Fence       uint64     `json:"fence"`
	Revision    uint32     `json:"revision"`
	Shards      []uint32   `json:"shards"`
}

// DecodeTable parses a routing table from the JSON that is stored on the platform.
func DecodeTable(data []byte) (Table, error) {
	var w tableJSON
	if err := settings.Decode(data, &w); err != nil {
		return Table{}, fmt.Errorf("control: table: %w", err)
	}
	t := Table{Pair: Pair{Service: w.Service, DataCentre: w.Centre}, Term: w.Term, Sequence: w.Sequence}
	for _, p := range w.Placements {
		placement := Placement{
			Upstream: p.Upstream, Leaseholder: p.Leaseholder.decode(),
			Fence: fence.Fence(p.Fence), Revision: p.Revision,
		}
		for _, s := range p.Shards {
			placement.Shards = append(placement.Shards, shard.Shard(s))
		}
		t.Placements = append(t.Placements, placement)
	}
	return t, nil
}

// EncodeTable returns the JSON of a routing table as it is stored on the platform.
func EncodeTable(t Table) ([]byte, error) {
	w := tableJSON{
		Service: t.Pair.Service, Centre: t.Pair.DataCentre,
		Term: t.Term, Sequence: t.Sequence, Placements: []placementJSON{},
	}
	for _, p := range t.Placements {
		placement := placementJSON{
			Upstream: p.Upstream, Leaseholder: encodeMember(p.Leaseholder),
			Fence: uint64(p.Fence), Revision: p.Revision, Shards: []uint32{},
		}
		for _, s := range p.Shards {
			placement.Shards = append(placement.Shards, uint32(s))
		}
		w.Placements = append(w.Placements, placement)
	}
	return json.Marshal(w)
}
