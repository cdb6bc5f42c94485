package relay

import "net/netip"

// route is a pair of VMs, in the order of their addresses because cuts concern both directions.
type route struct {
	low, high netip.Addr
}

func between(a, b netip.Addr) route {
	if b.Less(a) {
		return route{b, a}
	}
	return route{a, b}
}
