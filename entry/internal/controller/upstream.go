package controller

import (
	"time"

	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

// upstream is what a controller knows of an upstream beyond the table.
type upstream struct {
	// expiry is when no lease of the upstream can be in use unless it is renewed.
	expiry time.Time
	// closing says that the leaseholder is asked to release everything.
	closing bool
	// surplus says that the leaseholder has more upstreams than others.
	surplus  bool
	state    control.ServerState
	loads    map[shard.Shard]float64
	handover []control.Release
}

func (c *Controller) upstreamOf(name string) *upstream {
	if c.upstreams[name] == nil {
		c.upstreams[name] = &upstream{}
	}
	return c.upstreams[name]
}
