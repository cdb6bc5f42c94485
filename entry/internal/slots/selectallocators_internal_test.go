package slots

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/election"
)

// Guards against streams from each process to every other one, and against servers that change
// their allocator when a process which is no allocator joins or leaves.
func TestSelectAllocators(t *testing.T) {
	var members []election.Member
	for i := range 80 {
		members = append(members, election.Member{Name: fmt.Sprint("e", i), DataCentre: fmt.Sprint("c", i%4)})
	}
	all := selectAllocators(members, nil)
	must.MapLen(t, 5, all)
	changed := 0
	for i := range members {
		remaining := append(append([]election.Member(nil), members[i+1:]...), members[:i]...)
		for centre, now := range selectAllocators(remaining, nil) {
			must.Len(t, maxAllocators, now)
			same := 0
			for _, m := range now {
				for _, before := range all[centre] {
					if m == before {
						same++
					}
				}
			}
			must.GreaterEq(t, maxAllocators-1, same)
			if centre != allDataCentres && same < maxAllocators {
				changed++
			}
		}
	}
	must.Eq(t, 4*maxAllocators, changed)
	// An allocator that is excluded has a substitute.
	excluded := all["c0"][0]
	for _, m := range selectAllocators(members, map[string]time.Time{excluded.Name: {}})["c0"] {
		must.NotEq(t, excluded, m)
	}
	must.MapLen(t, 0, selectAllocators(nil, nil))
}
