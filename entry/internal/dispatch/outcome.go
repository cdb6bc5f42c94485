package dispatch

import (
	"net/http"
	"time"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/origin"
	"bramleystand.org/entry/internal/requestlimit"
)

// Outcome is what a request has shown about the server that it was sent to. The zero value stands for a
// request that was not sent or not answered.
type Outcome struct {
	// ServiceTime is the time that the server took; zero if it did not run the request to its end.
	ServiceTime time.Duration
	// Limit is what the response says about the request limit of the server.
	Limit requestlimit.Reading
	// Failed is true if the server answered with a failure of its own or not at all, and NotRun if the request
	// was not run.
	Failed bool
	NotRun bool
	// Load is the load that the server reported in its answer, or nil.
	Load *registry.Load
	// LimitErr is why the limit that the response names can't be used, or nil.
	LimitErr error
}

// outcome returns what a response shows. Only a response that the server has made by running the
// request shows that it names no limit any more. A request that was given up shows no failure of its server.
func outcome(serviceTime time.Duration, r *origin.Response, f *origin.Error, givenUp bool) Outcome {
	if f != nil {
		return Outcome{Failed: !givenUp, NotRun: !f.Sent}
	}
	if !r.HasServerProof && !r.NotRun {
		return Outcome{ServiceTime: serviceTime, Failed: true}
	}
	return Outcome{
		ServiceTime: serviceTime, LimitErr: r.Limit.Err, Failed: !r.NotRun && r.Status >= http.StatusInternalServerError, NotRun: r.NotRun, Load: r.Load,
		Limit: requestlimit.Reading{
			PerSecond: r.Limit.PerSecond, Named: r.Limit.Named,
			Silent: !r.Limit.Named && r.Limit.Err == nil && !r.NotRun,
		},
	}
}
