// Package control defines the control messages that entry processes exchange to agree
// on the owner of each shard, and the records that these messages carry: succession
// records, routing tables and leases.
//
// The types are plain structs without tags. Package peer encodes them as CBOR for the
// wire. Routing tables and succession records are also stored on the platform as JSON;
// their codecs are in this package.
//
// # Usage
//
//	pair := control.Pair{Service: "seat-desk", DataCentre: "tvm"}
//	c := controller.New(pair, self, controller.EvenPlanner{})
//	response := c.HandleRenew(now, control.RenewRequest{Pair: pair, Member: self})
package control

// Pair identifies a controller. Each pair of a service and a data centre has one.
type Pair struct {
	Service    string
	DataCentre string
}

// String formats the pair as service@datacentre.
func (p Pair) String() string {
	return p.Service + "@" + p.DataCentre
}
