package placement

import (
	"slices"
	"time"

	"bramleystand.org/common/registry"
)

const (
	// loadLifetime is how long a report of load is used. The slowdown of a server changes each 0.4 s.
	loadLifetime = 400 * time.Millisecond
	// averageSamples sets the weight of a new sample in an average: 1/averageSamples.
	averageSamples = 20
	// minSamples is the number of samples that the assumed speed of a new server counts for.
	minSamples = 3
	// minSpeed and maxSpeed bound a learned speed, so that a few unusual requests don't make a server take
	// all requests or none.
	minSpeed = 0.2
	maxSpeed = 8
	// minSlowdown and maxSlowdown bound the slowdown that a server can report.
	minSlowdown = 0.25
	maxSlowdown = 20
	// failureSamples sets the weight of a new sample in the share of failures.
	failureSamples = 5
)

// Outcome is what a request that has ended has shown about its server.
type Outcome struct {
	// ServiceTime is the time that the server took; zero if it did not run the request to its end.
	ServiceTime time.Duration
	// Failed is true if the server answered with a failure of its own or not at all, and NotRun if it did
	// not run the request.
	Failed bool
	NotRun bool
	// Load is the load that the server reported, or nil.
	Load *registry.Load
}

// run is a request that runs or waits at a server.
type run struct {
	id      uint64
	rank    int
	started time.Time
}

// server is the ledger of one server.
type server struct {
	registry.Server
	listed  bool
	running []run
	waiting []run
	// samples is the number of requests that speed follows from.
	samples int
	// speed is the time that the server takes for a request relative to the mean of the pool.
	speed float64
	// failures is the share of failed requests of late.
	failures float64
	// load is the latest report of the server, and others the requests in it that are not in the ledger.
	load   registry.Load
	others int
	// reportedUntil is until when the report is used; zero if there is none.
	reportedUntil time.Time
}

func newServer() *server { return &server{speed: 1} }

func (s *server) idle() bool { return len(s.running) == 0 && len(s.waiting) == 0 }

func (s *server) find(id uint64) (run, bool) {
	i := slices.IndexFunc(s.running, func(r run) bool { return r.id == id })
	if i < 0 {
		return run{}, false
	}
	return s.running[i], true
}

func without(list []run, id uint64) []run {
	return slices.DeleteFunc(list, func(r run) bool { return r.id == id })
}

// observe records what the end of a request has shown, except for its time.
func (s *server) observe(now time.Time, o Outcome) {
	failed := 0.0
	if o.Failed {
		failed = 1
	}
	if o.Failed || !o.NotRun {
		s.failures += (failed - s.failures) / failureSamples
	}
	if o.Load == nil {
		return
	}
	s.load, s.reportedUntil = *o.Load, now.Add(loadLifetime)
	s.load.Slowdown = min(max(s.load.Slowdown, minSlowdown), maxSlowdown)
	s.others = max(0, o.Load.Running+o.Load.Waiting-len(s.running))
}

// record adds a sample to the speed of the server.
func (s *server) record(ratio float64) {
	s.samples = min(s.samples+1, averageSamples)
	s.speed += (ratio - s.speed) / float64(max(s.samples, minSamples))
	s.speed = min(max(s.speed, minSpeed), maxSpeed)
}

// current reports whether the latest report of the server is recent enough to be used.
func (s *server) current(now time.Time) bool {
	return s.load.Slots > 0 && now.Before(s.reportedUntil)
}

// slowdown returns how many times longer work takes on the server now than usual.
func (s *server) slowdown(now time.Time) float64 {
	if !s.current(now) {
		return 1
	}
	return s.load.Slowdown
}

// foreign returns the number of requests at the server that are not in the ledger: those of processes that
// have no allocator, and those whose process or client has left.
func (s *server) foreign(now time.Time) int {
	if s.others == 0 || !s.current(now) {
		return 0
	}
	return s.others
}

// occupied returns the number of requests that run or wait at the server.
func (s *server) occupied(now time.Time) int {
	return len(s.running) + len(s.waiting) + s.foreign(now)
}

// speedFactor returns the expected time of a request relative to the mean of the pool.
func (s *server) speedFactor(now time.Time) float64 {
	return s.speed * s.slowdown(now) * (1 + failurePenalty*s.failures)
}
