package cluster

import (
	"context"
	"net/netip"
	"time"

	"bramleystand.org/common/keyspace"
)

// Grants sends grants and releases of keys to servers.
type Grants interface {
	Grant(ctx context.Context, to netip.AddrPort, keys keyspace.Range, fence uint64, hold time.Duration, handover string) error
	Release(ctx context.Context, to netip.AddrPort, keys keyspace.Range, fence uint64) (string, error)
}
