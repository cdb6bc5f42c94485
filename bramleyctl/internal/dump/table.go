package dump

// Table is the routing table of a service in a data centre. Of two tables of the same pair, the
// one with the higher term is newer, and with equal terms the one with the higher sequence.
type Table struct {
	Service    string      `json:"service"`
	Centre     string      `json:"centre"`
	Term       uint32      `json:"term"`
	Sequence   uint64      `json:"sequence"`
	Placements []Placement `json:"placements"`
}

// Placement lists the shards that one upstream holds, and the lease that it holds them under.
type Placement struct {
	Upstream    string   `json:"upstream"`
	Leaseholder Member   `json:"leaseholder"`
	Fence       string   `json:"fence"`
	Revision    uint32   `json:"revision"`
	Shards      []uint32 `json:"shards"`
}
