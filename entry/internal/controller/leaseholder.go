package controller

import (
	"maps"
	"time"

	"bramleystand.org/entry/internal/control"
)

// leaseholder is what a controller knows of an entry VM that renews leases. It may hold none.
type leaseholder struct {
	member    control.Member
	lastHeard time.Time
	sequence  uint64
	resigning bool
}

// forgetTimeout is the time without renewals after which an entry VM is forgotten.
const forgetTimeout = time.Minute

// forgetSilentLeaseholders removes entry VMs that have not renewed for forgetTimeout.
func (c *Controller) forgetSilentLeaseholders(now time.Time) {
	maps.DeleteFunc(c.leaseholders, func(_ string, h *leaseholder) bool { return !now.Before(h.lastHeard.Add(forgetTimeout)) })
}

// canHoldLeases reports whether an entry VM may be given leases: it belongs to the data centre, renews and isn't about
// to stop.
func (c *Controller) canHoldLeases(now time.Time, h *leaseholder) bool {
	return !h.resigning && !c.leavingVMs[h.member.Name] && h.member.DataCentre == c.pair.DataCentre &&
		now.Before(h.lastHeard.Add(2*gracePeriod))
}
