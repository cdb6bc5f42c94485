package view

import (
	"maps"
	"slices"
	"time"

	"bramleystand.org/common/registry"
)

// coldReturnTime is how long the servers of a data centre count as cold after its evacuation has ended.
// They may have become cold shortly before, and their entries say so up to two heartbeats later.
const coldReturnTime = 2 * time.Second

// maxEndedEvacuations limits the ended evacuations that are remembered.
const maxEndedEvacuations = 256

// evacuations holds the evacuated data centres and those whose evacuation has ended lately.
type evacuations struct {
	// usableUntil is when requests are no longer sent to the servers of an evacuated data centre.
	usableUntil map[string]time.Time
	// coldUntil is when the servers of a data centre that is in use again no longer count as cold.
	coldUntil map[string]time.Time
}

func newEvacuations() evacuations {
	return evacuations{usableUntil: make(map[string]time.Time), coldUntil: make(map[string]time.Time)}
}

// set replaces the list of evacuated data centres and returns the differences to the former one.
func (e *evacuations) set(now time.Time, centres []string, grace time.Duration) (begun, ended []string) {
	for _, c := range centres {
		if _, known := e.usableUntil[c]; !known {
			e.usableUntil[c] = now.Add(grace)
			delete(e.coldUntil, c)
			begun = append(begun, c)
		}
	}
	for _, c := range e.list() {
		if slices.Contains(centres, c) {
			continue
		}
		delete(e.usableUntil, c)
		if len(e.coldUntil) >= maxEndedEvacuations {
			clear(e.coldUntil)
		}
		e.coldUntil[c] = now.Add(coldReturnTime)
		ended = append(ended, c)
	}
	return begun, ended
}

// list returns the evacuated data centres in alphabetical order.
func (e *evacuations) list() []string { return slices.Sorted(maps.Keys(e.usableUntil)) }

// withColdReturns returns the servers with those as cold whose data centre has come back into use lately.
func (e *evacuations) withColdReturns(now time.Time, listed []registry.Server) []registry.Server {
	maps.DeleteFunc(e.coldUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	if len(e.coldUntil) == 0 {
		return listed
	}
	out := slices.Clone(listed)
	for i := range out {
		if until := e.coldUntil[out[i].DataCentre]; until.After(out[i].WarmAt) {
			out[i].WarmAt = until
		}
	}
	return out
}
