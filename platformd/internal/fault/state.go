package fault

import "time"

// Mode is the way in which calls fail in an outage.
type Mode string

// The modes. Hanging calls go on when the outage ends.
const (
	None   Mode = ""
	Refuse Mode = "refuse"
	Hang   Mode = "hang"
	Fail   Mode = "fail"
)

// State lists the faults in force.
type State struct {
	Mode        Mode
	OutageUntil time.Time
	// Delay is added to each call.
	Delay time.Duration
	// LoseAnswers is the number of writes that still take effect without an answer.
	LoseAnswers int
	// StaleVMs holds the list of VMs as it is.
	StaleVMs bool
}

// Outage returns the way in which calls fail at a time.
func (s State) Outage(now time.Time) Mode {
	if now.Before(s.OutageUntil) {
		return s.Mode
	}
	return None
}
