package serverprobe

import (
	"context"
	"net/netip"
	"sync"

	"bramleystand.org/common/registry"
)

// Reached returns for each address whether a server there accepts a connection and does not reset it.
func (p *Prober) Reached(ctx context.Context, addresses []netip.AddrPort) []bool {
	reached := make([]bool, len(addresses))
	var group sync.WaitGroup
	for i, a := range addresses {
		group.Go(func() { reached[i] = p.Probe(ctx, registry.Server{Address: a}, false) == nil })
	}
	group.Wait()
	return reached
}
