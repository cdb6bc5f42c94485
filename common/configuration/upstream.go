package configuration

import "net/netip"

// Upstream is one backend server of a service.
type Upstream struct {
	Name       string
	DataCentre string
	Address    netip.AddrPort
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Connections is the maximum number of connections to the server.
	Connections int
	// Fenced is true if the server checks grants; an unfenced server accepts requests from any
	// sender.
	Fenced bool
}
