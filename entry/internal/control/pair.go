// Package control defines the messages and records with which entry VMs agree on
// who owns which shards: succession records, routing tables, leases and the
// requests that renew and support them.
//
// The types are plain data without tags. Package peer maps them to CBOR for the
// wire; platform objects hold tables and successions as JSON.
//
// # Usage
//
//	pair := control.Pair{Service: "seat-desk", DataCentre: "tvm"}
//	response := controller.Renew(now, control.RenewRequest{Pair: pair, Member: self})
package control

// Pair identifies a controller: one per service and data centre.
type Pair struct {
	Service    string
	DataCentre string
}

// String formats the pair as service@datacentre.
func (p Pair) String() string {
	return p.Service + "@" + p.DataCentre
}
