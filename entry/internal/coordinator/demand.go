package coordinator

import (
	"time"

	"bramleystand.org/common/registry"
)

// Demand provides the load of the keys and the speed of the servers.
type Demand interface {
	// RecentLoad returns the cumulative load of all keys below each key over the last second, and
	// the number of requests counted. SteadyLoad returns the same over some seconds.
	RecentLoad(now time.Time) ([]float64, float64)
	SteadyLoad(now time.Time) ([]float64, float64)
	// MaxLoad returns the load that a server bears because of its request limit, or false if it has none.
	MaxLoad(now time.Time, inst registry.Instance) (float64, bool)
	// Speed returns the speed of a server; 1 is the mean of the service.
	Speed(inst registry.Instance) float64
}
