package faults

import (
	"slices"
	"time"

	"bramleystand.org/replay/internal/deployment"
	"bramleystand.org/replay/internal/fleet"
	"bramleystand.org/replay/internal/trial"
)

// caseState is the state of a running case.
type caseState struct {
	trial   *trial.Trial
	service deployment.Service
	// ownersBefore maps one key of each shard to the server that owned it before the event.
	ownersBefore map[string]string
	// server and entry are the targets of the event; a case has one of them.
	server *fleet.Server
	entry  *fleet.Entry
	// keys is a sample of the affected keys, whose recovery is measured.
	keys []string
	// minMoved is the smallest number of shards that have to move.
	minMoved   int
	injectedAt time.Time
	stopTime   time.Duration
	switchTime time.Duration
	problems   []string
}

// maxProbedKeys limits the keys that are looked up continuously. One server may own all of
// them and can process 800 lookups per second; 40 keys every 50 ms overloaded it, so that
// calls waited longer than the recovery time to be measured.
const maxProbedKeys = 12

// ownedKeys returns the keys that the given servers owned before the event, sorted.
func (s *caseState) ownedKeys(servers ...string) []string {
	var keys []string
	for k, o := range s.ownersBefore {
		if slices.Contains(servers, o) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// sampleKeys returns at most maxProbedKeys evenly spaced keys.
func sampleKeys(keys []string) []string {
	if len(keys) <= maxProbedKeys {
		return keys
	}
	chosen := make([]string, maxProbedKeys)
	for i := range chosen {
		chosen[i] = keys[i*len(keys)/maxProbedKeys]
	}
	return chosen
}

// countMoved returns the number of shards whose owner changed.
func countMoved(before, after map[string]string) int {
	n := 0
	for k, o := range after {
		if before[k] != o {
			n++
		}
	}
	return n
}
