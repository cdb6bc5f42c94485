package fleet

import (
	"net/netip"

	"bramleystand.org/replay/internal/process"
)

// Server is a backend server and its process.
type Server struct {
	Name       string
	Service    string
	DataCentre string
	Slots      int
	// Connections is the largest number of simultaneous connections that the server accepts.
	Connections int
	Address     netip.AddrPort
	// AdminAddress is the address for control requests, which neither injected faults nor the
	// connection limit affect.
	AdminAddress netip.AddrPort
	Process      *process.Process
}
