package controller

import (
	"maps"
	"time"

	"bramleystand.org/entry/internal/control"
)

// holder is what a controller knows of an entry VM that renews leases.
type holder struct {
	member    control.Member
	heard     time.Time
	sequence  uint64
	resigning bool
}

// forgetTime is when a silent entry VM that has no lease is forgotten.
const forgetTime = time.Minute

// forgetHolders drops entry VMs that have been silent for long.
func (c *Controller) forgetHolders(now time.Time) {
	maps.DeleteFunc(c.holders, func(_ string, h *holder) bool { return !now.Before(h.heard.Add(forgetTime)) })
}

// usable reports whether the holder may be given leases.
func (c *Controller) usable(now time.Time, h *holder) bool {
	return !h.resigning && !c.leaving[h.member.Name] && h.member.DataCentre == c.pair.DataCentre &&
		now.Before(h.heard.Add(2*gracePeriod))
}
