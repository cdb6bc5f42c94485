package dump

// Table is a routing table.
type Table struct {
	Service    string      `json:"service"`
	Centre     string      `json:"centre"`
	Term       uint32      `json:"term"`
	Sequence   uint64      `json:"sequence"`
	Placements []Placement `json:"placements"`
}

// Placement is one upstream's part of a table.
type Placement struct {
	Upstream    string   `json:"upstream"`
	Leaseholder Member   `json:"leaseholder"`
	Fence       string   `json:"fence"`
	Revision    uint32   `json:"revision"`
	Shards      []uint32 `json:"shards"`
}
