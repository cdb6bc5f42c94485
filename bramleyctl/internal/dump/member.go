package dump

import "net/netip"

// Member is an entry process as the dumping process knows it.
type Member struct {
	Name        string         `json:"name"`
	Incarnation int64          `json:"incarnation"`
	Centre      string         `json:"centre"`
	Address     netip.AddrPort `json:"address"`
	Leaving     bool           `json:"leaving"`
	Silent      bool           `json:"silent"`
}
