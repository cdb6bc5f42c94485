package cluster

import (
	"context"

	"bramleystand.org/platform"
)

// Store reads and writes objects in the platform's store.
type Store interface {
	List(ctx context.Context, kind string) ([]platform.Object, uint64, error)
	// ListStale and GetStale are cheaper, and may return what the store had seconds ago.
	ListStale(ctx context.Context, kind string) ([]platform.Object, uint64, error)
	GetStale(ctx context.Context, kind, name string) (platform.Object, error)
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind string, o platform.Object) (platform.Object, error)
	// Era returns the highest era that the store has stated in its responses.
	Era() uint64
}
