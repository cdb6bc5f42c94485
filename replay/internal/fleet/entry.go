package fleet

import (
	"net/netip"

	"bramleystand.org/replay/internal/process"
)

// Entry is an entry VM and its process.
type Entry struct {
	Name       string
	DataCentre string
	// CallerAddress is the address that serves callers.
	CallerAddress netip.AddrPort
	// PeerAddress is the address that listens for other entry VMs.
	PeerAddress netip.AddrPort
	// AnnouncedAddress is the address at which other entry VMs reach this one: PeerAddress, or
	// the relay in front of it.
	AnnouncedAddress netip.AddrPort
	AdminAddress     netip.AddrPort
	Process          *process.Process
}
