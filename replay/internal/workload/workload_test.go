package workload_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/rank"
	"bramleystand.org/replay/internal/deployment"
	"bramleystand.org/replay/internal/trace"
	"bramleystand.org/replay/internal/workload"
)

func generate(t *testing.T, name string, day workload.Day) *trace.Trace {
	t.Helper()
	d, err := deployment.Parse(name)
	must.NoError(t, err)
	w := workload.Workload{Deployment: d, Day: day, Rate: 200, Duration: 30 * time.Second, Seed: 3}
	return w.Trace()
}

// Guards against traces that differ between runs with the same seed, or that miss the
// requested rate.
func TestOrdinary(t *testing.T) {
	a, b := generate(t, "kerala", workload.Ordinary), generate(t, "kerala", workload.Ordinary)
	must.Eq(t, a, b)
	must.Between(t, 5600, len(a.Requests), 6400)
}

// Guards against floods that raise the wrong rank or are no higher than the other
// thirds of the trace.
func TestFloods(t *testing.T) {
	for day, k := range map[workload.Day]rank.Rank{workload.UploadFlood: rank.Upload, workload.ConfirmationFlood: rank.Confirmation} {
		tr := generate(t, "chikushi", day)
		var thirds [3][rank.Count]int
		for _, r := range tr.Requests {
			thirds[r.Arrival/(10*time.Second)][r.Rank]++
		}
		must.Greater(t, 8*thirds[0][k], thirds[1][k])
		must.Less(t, 2*thirds[0][rank.Lookup], thirds[1][rank.Lookup])
	}
}

// Guards against hot keys that stay the same for the whole trace.
func TestHotKeysMove(t *testing.T) {
	tr := generate(t, "chikushi", workload.Week)
	var counts [2]map[string]int
	counts[0], counts[1] = map[string]int{}, map[string]int{}
	for _, r := range tr.Requests {
		if r.Rank == rank.Lookup {
			counts[r.Arrival/(15*time.Second)][r.Key]++
		}
	}
	hottest := func(m map[string]int) (key string) {
		for k, n := range m {
			if n > m[key] || n == m[key] && k < key {
				key = k
			}
		}
		return key
	}
	must.NotEq(t, hottest(counts[0]), hottest(counts[1]))
}
