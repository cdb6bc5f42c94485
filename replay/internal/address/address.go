// Package address finds free loopback addresses for child processes.
//
// # Usage
//
//	addresses, err := address.Free(4)
package address

import (
	"fmt"
	"net"
	"net/netip"
)

// Free returns n different loopback addresses that nothing listens on.
func Free(n int) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("address: find free port: %w", err)
		}
		// All listeners stay open until the last is found, so that no port is returned twice.
		defer l.Close()
		addresses = append(addresses, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return addresses, nil
}
