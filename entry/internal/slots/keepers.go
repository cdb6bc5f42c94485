package slots

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleystand.org/entry/internal/election"
)

const (
	// mostKeepers bounds the processes of a data centre that keep slots. Each process has a stream
	// to each keeper; with one to each of some hundred processes, most streams would be opened
	// again for each request. Four can lose three, and each has a quarter of two calls a request.
	mostKeepers = 4
	// anywhere stands for all data centres, for servers of one without processes.
	anywhere = ""
)

// keepers returns the processes that keep slots by data centre. All processes that know the same
// members come to the same result, and a member that joins or leaves changes at most one.
func keepers(members []election.Member, shunned map[string]time.Time) map[string][]election.Member {
	out := make(map[string][]election.Member)
	for _, m := range members {
		if _, ok := shunned[m.Name]; ok {
			continue
		}
		out[m.DataCentre] = append(out[m.DataCentre], m)
		out[anywhere] = append(out[anywhere], m)
	}
	for centre, list := range out {
		slices.SortFunc(list, func(a, b election.Member) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
		})
		out[centre] = list[:min(len(list), mostKeepers)]
	}
	return out
}
