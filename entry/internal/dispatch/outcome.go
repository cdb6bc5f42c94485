package dispatch

import (
	"time"

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
	// LimitErr is why the limit that the response names can't be used, or nil.
	LimitErr error
}

// outcome returns what a response shows. Only a response that the server has made by running the
// request shows that it names no limit any more.
func outcome(serviceTime time.Duration, r *origin.Response) Outcome {
	if r == nil || !r.HasServerProof && !r.NotRun {
		return Outcome{ServiceTime: serviceTime}
	}
	return Outcome{
		ServiceTime: serviceTime, LimitErr: r.Limit.Err,
		Limit: requestlimit.Reading{
			PerSecond: r.Limit.PerSecond, Named: r.Limit.Named,
			Silent: !r.Limit.Named && r.Limit.Err == nil && !r.NotRun,
		},
	}
}
