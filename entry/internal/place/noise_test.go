package place_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/entry/internal/place"
)

// Guards against moves that only answer the chance with which few requests fall on equal servers: each
// splits a range, which is renewed ever after.
func TestNoMovesByChance(t *testing.T) {
	const count = 405
	servers := make([]place.Server, count)
	var ranges []place.Range
	for i := range servers {
		servers[i].Capacity = 4
		ranges = append(ranges, place.Range{Range: keyspace.Range{First: keyspace.Key(i * keyspace.KeyCount / count), Last: keyspace.Key((i+1)*keyspace.KeyCount/count - 1)}, Owner: i})
	}
	// A hundredth of the servers may differ by more than the plan takes for chance.
	for _, samplesPerServer := range []float64{1, 3, 6, 12, 25} {
		moves := 0
		const plans = 20
		for seed := range uint64(plans) {
			r := rand.New(rand.NewPCG(seed, 1))
			counts := make([]float64, keyspace.KeyCount)
			requests := int(samplesPerServer * count)
			for range requests {
				counts[r.IntN(keyspace.KeyCount)]++
			}
			// Three in ten slots are busy.
			load := 0.3 * 4 * count / float64(requests)
			prefix := make([]float64, keyspace.KeyCount+1)
			for i, n := range counts {
				prefix[i+1] = prefix[i] + n*load
			}
			for _, tolerance := range []float64{1.1, 1.3} {
				moves += len(place.Plan(servers, ranges, prefix, place.Limits{Tolerance: tolerance, Noise: min(1, 1/math.Sqrt(samplesPerServer))}))
			}
		}
		must.LessEq(t, count/100, moves/(2*plans), must.Sprint(samplesPerServer, " requests per server: moves in a plan, of 405 equal servers"))
	}
}
