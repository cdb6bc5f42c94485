// Package vm keeps the list of VMs, which others see with a lag.
//
// # Usage
//
//	l.Replace(vms, time.Now())
//	version, vms := l.View(time.Now())
package vm

import (
	"sync"
	"time"
)

// List holds the versions of the list that may still be seen.
type List struct {
	lag time.Duration

	mu       sync.Mutex
	versions []version
	// stale is the version shown whatever the time, or 0.
	stale int64
}

// version is one state of the list.
type version struct {
	number  int64
	visible time.Time
	vms     []VM
}

// New returns a list whose first version is visible at once, and all others after the lag.
func New(vms []VM, lag time.Duration) *List {
	return &List{lag: lag, versions: []version{{number: 1, vms: vms}}}
}

// Replace sets the list.
func (l *List) Replace(vms []VM, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.versions[len(l.versions)-1].number
	l.versions = append(l.versions, version{last + 1, now.Add(l.lag), vms})
}

// View returns the version that is visible, and its number.
func (l *List) View(now time.Time) (int64, []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.view(now)
	return v.number, v.vms
}

// view forgets the versions before the visible one; the caller holds the lock.
func (l *List) view(now time.Time) version {
	for l.stale == 0 && len(l.versions) > 1 && !l.versions[1].visible.After(now) {
		l.versions = l.versions[1:]
	}
	return l.versions[0]
}

// SetStale holds the view as it is now, or lets it go on.
func (l *List) SetStale(stale bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stale = 0
	v := l.view(now)
	if stale {
		l.stale = v.number
	}
}
