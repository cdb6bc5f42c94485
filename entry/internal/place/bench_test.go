package place_test

import (
	"math/rand/v2"
	"testing"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/entry/internal/place"
)

// BenchmarkPlan measures a plan for 400 servers of which a third is lost, with 900 ranges.
func BenchmarkPlan(b *testing.B) {
	r := rand.New(rand.NewPCG(1, 1))
	servers := make([]place.Server, 270)
	for i := range servers {
		servers[i].Capacity = 2 + 4*r.Float64()
	}
	prefix := make([]float64, keyspace.KeyCount+1)
	for i := range keyspace.KeyCount {
		prefix[i+1] = prefix[i] + r.Float64()*1000/keyspace.KeyCount
	}
	var ranges []place.Range
	const count = 900
	for i := range count {
		first, last := i*keyspace.KeyCount/count, (i+1)*keyspace.KeyCount/count-1
		owner := r.IntN(405)
		if owner >= len(servers) {
			owner = -1
		}
		ranges = append(ranges, place.Range{Range: keyspace.Range{First: keyspace.Key(first), Last: keyspace.Key(last)}, Owner: owner})
	}
	for b.Loop() {
		place.Plan(servers, ranges, prefix, place.Limits{Tolerance: 1.3, Noise: 0.1})
	}
}
