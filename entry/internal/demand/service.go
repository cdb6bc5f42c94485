package demand

import (
	"math"
	"time"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/requestlimit"
)

const (
	// recentWindow is the window in which hot keys are detected. A longer one shows them too late.
	recentWindow = 1200 * time.Millisecond
	// steadyWindow is the window by which the load is evened out. In a shorter one the load of a
	// server with 20 requests a second is too uncertain.
	steadyWindow = 5 * time.Second
	// maxServiceTime is the longest mean service time in seconds that a report may state. Another number
	// would make all loads unusable.
	maxServiceTime = 3600
)

// Service is the demand for the keys of one service, with the speeds of its servers.
type Service struct {
	recent, steady *Histogram
	speeds         *Speeds
	limits         Limits
	held           map[registry.Instance]float64
	// meanServiceTime is the latest mean service time of a request in seconds; zero if there is none.
	meanServiceTime float64
}

// Limits has the request limits of servers.
type Limits interface {
	// Get returns what is known of the request limit of a server.
	Get(now time.Time, inst registry.Instance) requestlimit.Limit
}

// NewService returns the demand of a service without any requests.
func NewService(now time.Time, l Limits) *Service {
	return &Service{limits: l, recent: NewHistogram(now, recentWindow), steady: NewHistogram(now, steadyWindow), speeds: NewSpeeds()}
}

// AddRequests counts requests for keys. meanServiceTime is the mean service time of a request in seconds.
// A mean that can't be right is ignored with its requests.
func (s *Service) AddRequests(now time.Time, keys []keyspace.Key, meanServiceTime float64) {
	if !(meanServiceTime >= 0 && meanServiceTime <= maxServiceTime) {
		return
	}
	if meanServiceTime > 0 {
		s.meanServiceTime = meanServiceTime
	}
	s.recent.Add(now, keys, meanServiceTime)
	s.steady.Add(now, keys, meanServiceTime)
}

// AddTimings records the times of requests that a server has run; see Speeds.Add.
func (s *Service) AddTimings(inst registry.Instance, requests int, ratioSum float64) {
	s.speeds.Add(inst, requests, ratioSum)
}

// RecentLoad returns the cumulative load of all keys below each key over the last second, and the
// number of requests that it is based on.
func (s *Service) RecentLoad(now time.Time) ([]float64, float64) { return s.recent.PrefixLoads(now) }

// SteadyLoad returns the same over the last seconds.
func (s *Service) SteadyLoad(now time.Time) ([]float64, float64) { return s.steady.PrefixLoads(now) }

// MaxLoad returns the load at which a server gets as many requests as it takes in a second, or false if
// it names no limit. A server that takes no requests from a part of the processes is taken to bear the part of
// all load that comes from the others.
func (s *Service) MaxLoad(now time.Time, inst registry.Instance) (float64, bool) {
	if s.meanServiceTime == 0 {
		return 0, false
	}
	load, limited := math.Inf(1), false
	if l := s.limits.Get(now, inst); l.IsCurrent(now) {
		load, limited = l.Rate()*s.meanServiceTime, true
	}
	if share := s.held[inst]; share > 0 {
		load, limited = min(load, max(0, 1-share)*s.recent.Total(now)+minHeldRate*s.meanServiceTime), true
	}
	return load, limited
}

// minHeldRate is the number of requests a second that a server is taken to bear at least, so that it has a
// capacity.
const minHeldRate = 0.25

// SetHeld replaces the parts of the processes from which servers take no requests now.
func (s *Service) SetHeld(shares map[registry.Instance]float64) { s.held = shares }

// Speed returns the speed of a server; 1 is the mean of the service.
func (s *Service) Speed(inst registry.Instance) float64 { return s.speeds.Speed(inst) }
