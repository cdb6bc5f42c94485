package slots

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/election"
)

const (
	// maxAllocators bounds the allocators of a data centre. Each process has a stream to each
	// allocator. If all of some hundred processes were allocators, most streams would be used so
	// rarely that they were opened again for each request. Of four allocators, three may fail,
	// and each gets a quarter of the two messages that a request takes.
	maxAllocators = 4
	// allDataCentres is the key for the processes of all data centres. They allocate the slots
	// of servers in a data centre that has no entry process.
	allDataCentres = ""
)

// selectAllocator returns the allocator of a server by rendezvous hashing. It has no name if there is none.
func selectAllocator(allocators map[string][]election.Member, s registry.Server) election.Member {
	return selectByName(allocators, s.DataCentre, s.ID)
}

// selectByName returns the allocator of a data centre for whatever has the given name.
func selectByName(allocators map[string][]election.Member, centre, name string) election.Member {
	candidates, ok := allocators[centre]
	if !ok {
		candidates = allocators[allDataCentres]
	}
	var best election.Member
	var highest uint64
	for _, m := range candidates {
		if score := xxhash.Sum64String(m.Name + "\x00" + name); best.Name == "" || score > highest {
			best, highest = m, score
		}
	}
	return best
}

// selectAllocators returns the allocators by data centre. Processes that know the same members
// select the same allocators, and a member that joins or leaves changes at most one of them per
// data centre.
func selectAllocators(members []election.Member, excluded map[string]time.Time) map[string][]election.Member {
	out := make(map[string][]election.Member)
	for _, m := range members {
		if _, ok := excluded[m.Name]; ok {
			continue
		}
		out[m.DataCentre] = append(out[m.DataCentre], m)
		out[allDataCentres] = append(out[allDataCentres], m)
	}
	for centre, list := range out {
		slices.SortFunc(list, func(a, b election.Member) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
		})
		out[centre] = list[:min(len(list), maxAllocators)]
	}
	return out
}
