package slots

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/election"
)

// Guards against a stream from each process to each other one, and against slots that go to
// other keepers when a process joins or leaves that keeps none.
func TestKeepers(t *testing.T) {
	var members []election.Member
	for i := range 80 {
		members = append(members, election.Member{Name: fmt.Sprint("e", i), DataCentre: fmt.Sprint("c", i%4)})
	}
	all := keepers(members, nil)
	must.MapLen(t, 5, all)
	changed := 0
	for i := range members {
		left := append(append([]election.Member(nil), members[i+1:]...), members[:i]...)
		for centre, now := range keepers(left, nil) {
			must.Len(t, mostKeepers, now)
			same := 0
			for _, m := range now {
				for _, before := range all[centre] {
					if m == before {
						same++
					}
				}
			}
			must.GreaterEq(t, mostKeepers-1, same)
			if centre != anywhere && same < mostKeepers {
				changed++
			}
		}
	}
	must.Eq(t, 4*mostKeepers, changed)
	// A keeper that is passed over has a substitute.
	lost := all["c0"][0]
	for _, m := range keepers(members, map[string]time.Time{lost.Name: {}})["c0"] {
		must.NotEq(t, lost, m)
	}
	must.MapLen(t, 0, keepers(nil, nil))
}
