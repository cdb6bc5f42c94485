// Package vm keeps the platform's list of VMs, whose changes become visible after a lag.
//
// # Usage
//
//	l.Replace(vms, time.Now())
//	version, vms := l.Visible(time.Now())
package vm

import (
	"sync"
	"time"
)

// List holds the visible version of the list of VMs and the later ones, which are not visible yet.
type List struct {
	lag time.Duration

	mu       sync.Mutex
	versions []listVersion
	// stale is the number of the version that stays visible whatever the time, or 0 if none does.
	stale int64
}

// listVersion is one version of the list and the time from which it is visible.
type listVersion struct {
	number    int64
	visibleAt time.Time
	vms       []VM
}

// New returns a list whose first version is visible at once; later ones become visible after the lag.
func New(vms []VM, lag time.Duration) *List {
	return &List{lag: lag, versions: []listVersion{{number: 1, vms: vms}}}
}

// Replace adds a new version of the list, which becomes visible after the lag.
func (l *List) Replace(vms []VM, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.versions[len(l.versions)-1].number
	l.versions = append(l.versions, listVersion{newest + 1, now.Add(l.lag), vms})
}

// Visible returns the number and the VMs of the visible version.
func (l *List) Visible(now time.Time) (int64, []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.dropOutdated(now)
	return v.number, v.vms
}

// dropOutdated drops the versions before the visible one and returns the visible one. The caller
// must hold the lock.
func (l *List) dropOutdated(now time.Time) listVersion {
	for l.stale == 0 && len(l.versions) > 1 && !l.versions[1].visibleAt.After(now) {
		l.versions = l.versions[1:]
	}
	return l.versions[0]
}

// SetStale keeps the version that is visible now, or lets later versions become visible again.
func (l *List) SetStale(stale bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stale = 0
	v := l.dropOutdated(now)
	if stale {
		l.stale = v.number
	}
}
