package control

import "net/netip"

// Member identifies one run of the entry process on a VM.
type Member struct {
	Name string
	// Incarnation is the start time of the process in Unix nanoseconds; it changes with every restart.
	Incarnation int64
	DataCentre  string
	Address     netip.AddrPort
}

// Same reports whether m and o have the same name and incarnation.
func (m Member) Same(o Member) bool {
	return m.Name == o.Name && m.Incarnation == o.Incarnation
}
