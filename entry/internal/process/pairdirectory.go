package process

import (
	"slices"
	"sync"
	"time"

	"bramleystand.org/common/configuration"
	"bramleystand.org/entry/internal/directory"
)

// pairDirectory implements pair.Directory. It adds to the directory which VMs the
// platform's list marks as leaving or no longer has.
type pairDirectory struct {
	*directory.Directory

	mu          sync.Mutex
	listVersion int64
	seen        map[string]bool
	removed     map[string]bool
	leaving     map[string]bool
}

func newPairDirectory(d *directory.Directory) *pairDirectory {
	return &pairDirectory{Directory: d, seen: make(map[string]bool), removed: make(map[string]bool), leaving: make(map[string]bool)}
}

// Centres returns the data centres of all known members.
func (d *pairDirectory) Centres() []string {
	var centres []string
	for _, a := range d.Members(time.Now()) {
		if !slices.Contains(centres, a.Member.DataCentre) {
			centres = append(centres, a.Member.DataCentre)
		}
	}
	slices.Sort(centres)
	return centres
}

// Removed returns the names of the VMs that were in the platform's list and no longer are.
func (d *pairDirectory) Removed() map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]bool, len(d.removed))
	for name := range d.removed {
		out[name] = true
	}
	return out
}

// Leaving returns the leaving mark of a VM: the one set by operators, or else one with the
// author "platform" if the platform's list marks the VM as leaving.
func (d *pairDirectory) Leaving(vm string) (configuration.Leaving, bool) {
	if mark, ok := d.Directory.Leaving(vm); ok {
		return mark, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return configuration.Leaving{VM: vm, Author: "platform"}, d.leaving[vm]
}

// updateVMs applies a version of the platform's list of VMs and reports whether it was
// newer than the last one. Other versions are ignored, because reads of the list can be stale.
func (d *pairDirectory) updateVMs(version int64, vms []VM) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version <= d.listVersion {
		return false
	}
	d.listVersion = version
	present := make(map[string]bool, len(vms))
	d.leaving = make(map[string]bool)
	for _, m := range vms {
		present[m.Name] = true
		d.seen[m.Name] = true
		d.leaving[m.Name] = m.Leaving
		delete(d.removed, m.Name)
	}
	for name := range d.seen {
		if !present[name] {
			d.removed[name] = true
		}
	}
	return true
}
