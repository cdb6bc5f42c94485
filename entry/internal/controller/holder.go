package controller

import (
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

// usable reports whether the holder may be given leases.
func (c *Controller) usable(now time.Time, h *holder) bool {
	return !h.resigning && !c.leaving[h.member.Name] && h.member.DataCentre == c.pair.DataCentre &&
		now.Before(h.heard.Add(2*gracePeriod))
}
