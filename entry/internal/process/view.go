package process

import (
	"slices"
	"sync"
	"time"

	"bramleystand.org/common/configuration"
	"bramleystand.org/entry/internal/directory"
)

// view adds to the directory what the pairs need to know of VMs that are gone.
type view struct {
	*directory.Directory

	mu      sync.Mutex
	version int64
	seen    map[string]bool
	removed map[string]bool
	leaving map[string]bool
}

func newView(d *directory.Directory) *view {
	return &view{Directory: d, seen: make(map[string]bool), removed: make(map[string]bool), leaving: make(map[string]bool)}
}

// Centres returns the data centres of all known members.
func (v *view) Centres() []string {
	var centres []string
	for _, a := range v.Members(time.Now()) {
		if !slices.Contains(centres, a.Member.DataCentre) {
			centres = append(centres, a.Member.DataCentre)
		}
	}
	slices.Sort(centres)
	return centres
}

// Removed returns the names of VMs that the platform's list had and has no more.
func (v *view) Removed() map[string]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make(map[string]bool, len(v.removed))
	for name := range v.removed {
		out[name] = true
	}
	return out
}

// Leaving returns the leaving mark of a VM: the operators' one, or one that stands for the platform's list.
func (v *view) Leaving(vm string) (configuration.Leaving, bool) {
	if mark, ok := v.Directory.Leaving(vm); ok {
		return mark, true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return configuration.Leaving{VM: vm, Author: "platform"}, v.leaving[vm]
}

// observe takes a version of the platform's list of VMs and reports whether it was
// new; an older version is ignored, because the list lags.
func (v *view) observe(version int64, vms []VM) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version <= v.version {
		return false
	}
	v.version = version
	present := make(map[string]bool, len(vms))
	v.leaving = make(map[string]bool)
	for _, m := range vms {
		present[m.Name] = true
		v.seen[m.Name] = true
		v.leaving[m.Name] = m.Leaving
		delete(v.removed, m.Name)
	}
	for name := range v.seen {
		if !present[name] {
			v.removed[name] = true
		}
	}
	return true
}
