package upstream

import "context"

// wait is the context of the requests of one shard that wait for a slot.
type wait struct {
	ctx    context.Context
	cancel context.CancelFunc
}
