package controller

import (
	"time"

	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

// upstreamState is what a controller knows of an upstream beyond its placement in the table.
type upstreamState struct {
	// expiry is when the lease of the upstream has expired for certain, unless it is renewed.
	expiry time.Time
	// closing says that the leaseholder is asked to release all shards.
	closing bool
	// surplus says that the leaseholder has more upstreams than others and is to hand over this one.
	surplus bool
	state   control.ServerState
	loads   map[shard.Shard]float64
	// handover holds the releases of shards that moved here until the leaseholder has confirmed their arrival.
	handover []control.Release
}

func (c *Controller) upstreamOf(name string) *upstreamState {
	if c.upstreams[name] == nil {
		c.upstreams[name] = &upstreamState{}
	}
	return c.upstreams[name]
}
