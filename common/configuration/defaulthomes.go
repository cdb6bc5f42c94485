package configuration

import (
	"slices"

	"bramleystand.org/common/shard"
)

// slotsByCentre returns the slots per data centre and the data centres in alphabetical order.
func slotsByCentre(upstreams []Upstream) (slots map[string]int, centres []string) {
	slots = map[string]int{}
	for _, u := range upstreams {
		slots[u.DataCentre] += u.Slots
	}
	for c := range slots {
		centres = append(centres, c)
	}
	slices.Sort(centres)
	return slots, centres
}

// DefaultHomes divides the shards over the data centres in proportion to the slots of their
// upstreams.
func DefaultHomes(shards uint32, upstreams []Upstream) []HomeRange {
	slots, centres := slotsByCentre(upstreams)
	total := 0
	for _, n := range slots {
		total += n
	}
	var homes []HomeRange
	first, slotsSoFar := uint64(0), 0
	for _, c := range centres {
		slotsSoFar += slots[c]
		end := uint64(shards) * uint64(slotsSoFar) / uint64(max(total, 1))
		if end > first {
			homes = append(homes, HomeRange{DataCentre: c, First: shard.Shard(first), Last: shard.Shard(end - 1)})
			first = end
		}
	}
	return homes
}
