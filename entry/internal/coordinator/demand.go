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
	// Speed returns the speed of a server; 1 is the mean of the service.
	Speed(inst registry.Instance) float64
}
