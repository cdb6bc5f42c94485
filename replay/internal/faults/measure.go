package faults

import (
	"time"
)

// measureNewWork measures the time from the leaving mark to the last start of a request on
// the leaving server.
func measureNewWork(s *caseState, r *Result) {
	for _, e := range s.trial.Collector.Executions() {
		if e.Server == s.server.Name {
			r.NewWorkPeriod = max(r.NewWorkPeriod, time.Unix(0, int64(e.Started)).Sub(s.injectedAt))
		}
	}
}

// recordSwitchTime stores how long the resumed entry VM took to apply the preset.
func recordSwitchTime(s *caseState, r *Result) {
	r.SwitchTime = s.switchTime
}

// countCrashedServers counts the servers whose process ended; all of their shards had to move.
func countCrashedServers(s *caseState, r *Result) {
	var ended []string
	for _, b := range s.trial.Fleet.Servers {
		if b.Process.Ended() {
			ended = append(ended, b.Name)
		}
	}
	r.CrashedServers, r.MinMoved = len(ended), len(s.ownedKeys(ended...))
}
