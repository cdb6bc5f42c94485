package faults

import (
	"slices"
	"time"

	"bramleystand.org/replay/internal/deployment"
	"bramleystand.org/replay/internal/fleet"
	"bramleystand.org/replay/internal/trial"
)

// scene is a case in progress.
type scene struct {
	trial   *trial.Trial
	service deployment.Service
	// before holds the owner of one key of each shard.
	before map[string]string
	server *fleet.Server
	entry  *fleet.Entry
	// keys are the keys that lose a process and whose recovery is measured.
	keys []string
	// least is the fewest shards that have to move.
	least    int
	injected time.Time
	stopped  time.Duration
	switched time.Duration
	problems []string
}

// probed is the number of keys that are looked up continuously. One server may own
// all of them and has a capacity of 800 lookups a second; 40 keys every 50 ms
// overloaded it, so that calls waited longer than the recovery that is measured.
const probed = 12

// owned returns the keys that the given servers own, in order.
func (s *scene) owned(servers ...string) []string {
	var keys []string
	for k, o := range s.before {
		if slices.Contains(servers, o) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// sample returns up to probed keys at even distances.
func sample(keys []string) []string {
	if len(keys) <= probed {
		return keys
	}
	chosen := make([]string, probed)
	for i := range chosen {
		chosen[i] = keys[i*len(keys)/probed]
	}
	return chosen
}

// moved returns the number of shards whose owner is another than before.
func moved(before, after map[string]string) int {
	n := 0
	for k, o := range after {
		if before[k] != o {
			n++
		}
	}
	return n
}
