package process

import (
	"net"
	"net/netip"
)

// NewDialer returns a dialer whose connections come from one address, so that a
// process on a VM with several addresses has one identity for those it calls.
func NewDialer(from netip.Addr) *net.Dialer {
	return &net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0))}
}
