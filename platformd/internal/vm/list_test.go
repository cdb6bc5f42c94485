package vm_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/platformd/internal/vm"
)

// Guards against a list that is fresher than its lag, that skips a change or that stays stale.
func TestView(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	l := vm.New([]vm.VM{{Name: "a", State: "live"}}, 10*time.Second)
	l.Replace([]vm.VM{{Name: "a", State: "leaving"}}, at(0))
	l.Replace(nil, at(5))
	version, vms := l.View(at(9))
	must.Eq(t, 1, version)
	must.Eq(t, "live", vms[0].State)
	version, vms = l.View(at(10))
	must.Eq(t, 2, version)
	must.Eq(t, "leaving", vms[0].State)
	l.SetStale(true, at(11))
	version, _ = l.View(at(60))
	must.Eq(t, 2, version)
	l.SetStale(false, at(61))
	version, vms = l.View(at(61))
	must.Eq(t, 3, version)
	must.SliceEmpty(t, vms)
}

// Guards against vms in a state that no process knows.
func TestValidate(t *testing.T) {
	must.NoError(t, vm.VM{Name: "a", State: "leaving"}.Validate())
	must.ErrorContains(t, vm.VM{Name: "a", State: "gone"}.Validate(), `"gone"`)
	must.Error(t, vm.VM{State: "live"}.Validate())
}
