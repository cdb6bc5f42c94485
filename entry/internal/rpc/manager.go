package rpc

import (
	"time"

	"storj.io/drpc/drpcmanager"
)

// Manager holds the manager options for all connections: with soft cancellation, a
// connection stays usable after a call on it is cancelled.
var Manager = drpcmanager.Options{SoftCancel: true, SoftCancelGrace: 5 * time.Millisecond}
