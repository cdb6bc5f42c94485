package faults

import (
	"time"
)

// checkQuiet measures how long the leaving server received new work.
func checkQuiet(s *scene, r *Result) {
	for _, e := range s.trial.Collector.Executions() {
		if e.Server == s.server.Name {
			r.Quiet = max(r.Quiet, time.Unix(0, int64(e.Started)).Sub(s.injected))
		}
	}
}

// checkSwitch reports when the entry VM that was stopped followed the preset.
func checkSwitch(s *scene, r *Result) {
	r.Switch = s.switched
}

// checkCrashes counts the servers that ended; the shards of all of them had to move.
func checkCrashes(s *scene, r *Result) {
	var ended []string
	for _, b := range s.trial.Fleet.Servers {
		if b.Process.Ended() {
			ended = append(ended, b.Name)
		}
	}
	r.Crashed, r.Least = len(ended), len(s.owned(ended...))
}
