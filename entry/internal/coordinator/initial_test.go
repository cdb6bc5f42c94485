package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/coordinator"
)

// Guards against keys that are given to the first servers to register and must move to the others at once.
func TestInitialAssignmentWaitsForServers(t *testing.T) {
	for _, c := range []struct {
		name string
		// interval is the time between the registrations of two servers.
		interval time.Duration
		servers  int
		earliest time.Duration
		latest   time.Duration
	}{
		{"all at once", 0, 4, time.Second, 1100 * time.Millisecond},
		{"within 2 s", 2 * time.Millisecond, 999, 2400 * time.Millisecond, 2700 * time.Millisecond},
		{"without end", 100 * time.Millisecond, 999, 4 * time.Second, 4200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			begin := time.Unix(1000, 0)
			k := coordinator.New("s", 1, nil, begin, begin)
			var list []registry.Server
			for at := time.Duration(0); ; at += 10 * time.Millisecond {
				must.Less(t, c.latest, at)
				now := begin.Add(at)
				for len(list) < c.servers && time.Duration(len(list))*c.interval <= at {
					i := len(list)
					list = append(list, registry.Server{Instance: registry.Instance{ID: fmt.Sprint("s", i), Incarnation: 1}, Service: "s", Address: address(i), Slots: 4})
					if c.interval > 0 {
						k.SetServers(now, list)
					}
				}
				k.SetServers(now, list)
				k.Step(now, &evenDemand{}, true)
				if table, _, ok := k.Table(); ok && table.Assignments[0].Target != nil {
					must.GreaterEq(t, c.earliest, at)
					return
				}
			}
		})
	}
}
