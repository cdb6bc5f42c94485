package dispatch

import "time"

// Phase is what a call waits for.
type Phase string

// Phases of a call.
const (
	// AwaitsBody means that the body has not been read to its end.
	AwaitsBody Phase = "body"
	// AwaitsOwner means that a server is being selected: the key of the call may have no owner.
	AwaitsOwner Phase = "owner"
	// AwaitsSlot means that the selected server has no free slot.
	AwaitsSlot Phase = "slot"
	// AwaitsResponse means that the request is being sent to a server or has been sent.
	AwaitsResponse Phase = "response"
)

// Progress tells what a call waits for, since when and at which server, if one has been selected.
type Progress struct {
	Phase  Phase
	Server string
	Since  time.Time
}

// SetPhase records what the call waits for from now on; server is empty if none has been selected.
func (c *Call) SetPhase(p Phase, server string) {
	c.progress.Store(&Progress{Phase: p, Server: server, Since: time.Now()})
}

// Progress returns what the call waits for.
func (c *Call) Progress() Progress {
	if p := c.progress.Load(); p != nil {
		return *p
	}
	return Progress{Since: c.Arrived}
}
