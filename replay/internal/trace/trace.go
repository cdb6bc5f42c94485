// Package trace defines recorded or generated sequences of requests and their file
// format. A file consists of JSON lines. The first line describes the trace, and each
// other line is a request.
//
// # Usage
//
//	t, err := trace.Read(file)
//	for _, r := range t.Requests {
//		schedule(start.Add(r.Arrival), r)
//	}
package trace

import (
	"time"

	"bramleystand.org/common/rank"
)

// Trace is a sequence of requests in order of arrival.
type Trace struct {
	Deployment string
	Day        string
	Seed       uint64
	Objectives [rank.Count]Objective
	Requests   []Request
}

// Duration returns the arrival time of the last request.
func (t *Trace) Duration() time.Duration {
	if len(t.Requests) == 0 {
		return 0
	}
	return t.Requests[len(t.Requests)-1].Arrival
}
