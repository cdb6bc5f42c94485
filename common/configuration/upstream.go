package configuration

import "net/netip"

// Upstream is one backend server of a service.
type Upstream struct {
	Name        string
	DataCentre  string
	Address     netip.AddrPort
	Slots       int
	Connections int
	// Fenced says whether the server checks grants; an unfenced server obeys any sender.
	Fenced bool
}
