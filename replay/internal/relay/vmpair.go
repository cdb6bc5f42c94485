package relay

import "net/netip"

// vmPair identifies two VMs. The addresses are sorted because a cut affects both directions.
type vmPair struct {
	low, high netip.Addr
}

// vmPairOf returns the pair of two addresses in any order.
func vmPairOf(a, b netip.Addr) vmPair {
	if b.Less(a) {
		return vmPair{b, a}
	}
	return vmPair{a, b}
}
