package fleet

import (
	"net/netip"

	"bramleystand.org/replay/internal/process"
)

// Entry is an entry VM and its process.
type Entry struct {
	Name       string
	DataCentre string
	// Caller is the address that serves callers.
	Caller netip.AddrPort
	// Peer is the address that listens for other entry VMs.
	Peer netip.AddrPort
	// Announce is the address at which other entry VMs reach this one: Peer, or the relay in front of it.
	Announce netip.AddrPort
	Admin    netip.AddrPort
	Process  *process.Process
}
