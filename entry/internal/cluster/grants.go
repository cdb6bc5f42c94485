package cluster

import (
	"context"
	"time"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/platform"
)

// Grants sends grants and releases of keys to servers. platform.GrantClient implements it and states the
// errors.
type Grants interface {
	Grant(ctx context.Context, to platform.Recipient, keys keyspace.Range, fence uint64, hold time.Duration, handover string, connection uint64) (uint64, error)
	Release(ctx context.Context, to platform.Recipient, keys keyspace.Range, fence uint64) (string, error)
}
