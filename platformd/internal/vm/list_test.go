package vm_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/platformd/internal/vm"
)

// Guards against a version that is visible before the lag is over or skipped, and against a list
// that stays stale after SetStale(false).
func TestVisible(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	l := vm.New([]vm.VM{{Name: "a", State: "live"}}, 10*time.Second)
	l.Replace([]vm.VM{{Name: "a", State: "leaving"}}, at(0))
	l.Replace(nil, at(5))
	version, vms := l.Visible(at(9))
	must.Eq(t, 1, version)
	must.Eq(t, "live", vms[0].State)
	version, vms = l.Visible(at(10))
	must.Eq(t, 2, version)
	must.Eq(t, "leaving", vms[0].State)
	l.SetStale(true, at(11))
	version, _ = l.Visible(at(60))
	must.Eq(t, 2, version)
	l.SetStale(false, at(61))
	version, vms = l.Visible(at(61))
	must.Eq(t, 3, version)
	must.SliceEmpty(t, vms)
}

// Guards against accepting a VM without a name or in an unknown state.
func TestValidate(t *testing.T) {
	must.NoError(t, vm.VM{Name: "a", State: "leaving"}.Validate())
	must.ErrorContains(t, vm.VM{Name: "a", State: "gone"}.Validate(), `"gone"`)
	must.Error(t, vm.VM{State: "live"}.Validate())
}
