package upstream

import "context"

// waitContext is the context of the requests of one shard that wait for a slot.
type waitContext struct {
	ctx    context.Context
	cancel context.CancelFunc
}
