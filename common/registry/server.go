// Package registry describes backend servers as they register themselves.
//
// # Usage
//
//	if !server.Draining && server.Service == service {
//		candidates = append(candidates, server)
//	}
package registry

import (
	"net/netip"
	"time"
)

// Server is a backend server of a service.
type Server struct {
	Instance
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Draining is true if the server takes no new requests.
	Draining bool
	// Sequence rises with each write of the server's entry and starts anew with each incarnation.
	Sequence int64
	// WarmAt is when the server reaches full speed after its start.
	WarmAt time.Time
}
