package fleet

import (
	"net/netip"

	"bramleystand.org/replay/internal/process"
)

// Server is a backend server.
type Server struct {
	Name       string
	Service    string
	DataCentre string
	Slots      int
	// Connections is the largest number of connections that the server accepts.
	Connections int
	Address     netip.AddrPort
	// Admin serves control requests, which neither faults nor the connection limit affect.
	Admin   netip.AddrPort
	Process *process.Process
}
