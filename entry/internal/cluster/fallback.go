package cluster

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
)

// fallBackSpacing is the mean time between two processes that begin to read the store when the coordinator is
// silent. Some hundred processes at once would overload the store when the next coordinator needs it, and
// each call has a price.
const fallBackSpacing = 3 * time.Millisecond

// fallBackDelay returns how much later than the first process this one reads the store when the coordinator
// is silent. The node's lock must be held.
func (n *Node) fallBackDelay() time.Duration {
	const steps = 1 << 20
	position := xxhash.Sum64String(n.self.Name) % steps
	return time.Duration(len(n.members)) * fallBackSpacing * time.Duration(position) / steps
}

// onSmallVM reports whether the process takes the coordinator's role only if no large VM does. The node's lock
// must be held.
func (n *Node) onSmallVM() bool {
	return n.cores < smallVMFraction*cmp.Or(n.largestCores, largeVMCores)
}
