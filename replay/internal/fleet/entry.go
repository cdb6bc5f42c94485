package fleet

import (
	"net/netip"

	"bramleystand.org/replay/internal/process"
)

// Entry is an entry VM.
type Entry struct {
	Name       string
	DataCentre string
	Caller     netip.AddrPort
	Peer       netip.AddrPort
	// Announce is the address at which other entry VMs reach this one.
	Announce netip.AddrPort
	Admin    netip.AddrPort
	Process  *process.Process
}
