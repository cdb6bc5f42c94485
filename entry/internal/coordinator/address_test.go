package coordinator_test

import "net/netip"

// address returns the address of the i-th test server.
func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i + 1)}), 80)
}
