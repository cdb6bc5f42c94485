package control

import "net/netip"

// Member is one process of an entry VM.
type Member struct {
	Name string
	// Incarnation is the process's start time in Unix nanoseconds; it changes at every restart.
	Incarnation int64
	DataCentre  string
	Address     netip.AddrPort
}

// Same reports whether both are the same incarnation of the same VM.
func (m Member) Same(o Member) bool {
	return m.Name == o.Name && m.Incarnation == o.Incarnation
}
