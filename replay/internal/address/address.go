// Package address finds free loopback addresses for child processes.
//
// # Usage
//
//	addresses, err := address.Free(4)
package address

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

// The range of ports to try. It is below the range of the kernel's ephemeral ports,
// because an outgoing connection could take one of those before the child process
// listens on it.
const (
	firstPort = 15000
	lastPort  = 32000
)

// Free returns n different loopback addresses on which no process listens.
func Free(n int) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	start := rand.IntN(lastPort - firstPort)
	for i := range lastPort - firstPort {
		if len(addresses) == n {
			return addresses, nil
		}
		a := netip.AddrPortFrom(loopback, uint16(firstPort+(start+i)%(lastPort-firstPort)))
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return nil, fmt.Errorf("address: close %s: %w", a, err)
		}
		addresses = append(addresses, a)
	}
	return nil, eris.Errorf("address: found only %d of %d free ports between %d and %d", len(addresses), n, firstPort, lastPort)
}
