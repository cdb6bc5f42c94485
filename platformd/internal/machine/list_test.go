package machine_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/platformd/internal/machine"
)

// Guards against a list that is fresher than its lag, that skips a change or that stays stale.
func TestView(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	l := machine.New([]machine.Machine{{Name: "a", State: "live"}}, 10*time.Second)
	l.Replace([]machine.Machine{{Name: "a", State: "leaving"}}, at(0))
	l.Replace(nil, at(5))
	version, machines := l.View(at(9))
	must.Eq(t, 1, version)
	must.Eq(t, "live", machines[0].State)
	version, machines = l.View(at(10))
	must.Eq(t, 2, version)
	must.Eq(t, "leaving", machines[0].State)
	l.SetStale(true, at(11))
	version, _ = l.View(at(60))
	must.Eq(t, 2, version)
	l.SetStale(false, at(61))
	version, machines = l.View(at(61))
	must.Eq(t, 3, version)
	must.SliceEmpty(t, machines)
}

// Guards against machines in a state that no process knows.
func TestValidate(t *testing.T) {
	must.NoError(t, machine.Machine{Name: "a", State: "leaving"}.Validate())
	must.ErrorContains(t, machine.Machine{Name: "a", State: "gone"}.Validate(), `"gone"`)
	must.Error(t, machine.Machine{State: "live"}.Validate())
}
