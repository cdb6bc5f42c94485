package fault

import "time"

// OutageMode is the way in which calls fail during an outage.
type OutageMode string

// None means no outage. Refuse closes the connection without a response, Fail answers with an
// error, and Hang delays calls, which proceed when the outage ends.
const (
	None   OutageMode = ""
	Refuse OutageMode = "refuse"
	Hang   OutageMode = "hang"
	Fail   OutageMode = "fail"
)

// State describes the active faults.
type State struct {
	OutageMode  OutageMode
	OutageUntil time.Time
	// Delay is the time that each call is held before it is handled.
	Delay time.Duration
	// LoseResponses is the number of further writes that take effect but get no response.
	LoseResponses int
	// StaleVMs stops changes of the list of VMs from becoming visible.
	StaleVMs bool
}

// Outage returns how calls fail at a time, or None outside an outage.
func (s State) Outage(now time.Time) OutageMode {
	if now.Before(s.OutageUntil) {
		return s.OutageMode
	}
	return None
}
