package dump

import "net/netip"

// Member is an entry process as seen by the process that wrote the dump.
type Member struct {
	Name        string         `json:"name"`
	Incarnation int64          `json:"incarnation"`
	Centre      string         `json:"centre"`
	Address     netip.AddrPort `json:"address"`
	Leaving     bool           `json:"leaving"`
	Silent      bool           `json:"silent"`
}
