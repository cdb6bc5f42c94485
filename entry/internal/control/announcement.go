package control

import "time"

// Announcement is what the entry processes know about one of them.
type Announcement struct {
	Member Member
	// Beat is raised by the member itself whenever it changes its announcement or contradicts a report of silence.
	Beat    uint32
	Leaving bool
	// Silent is set by another member that got no answer; the member contradicts it with a higher Beat.
	Silent bool
	// Since is when Silent was reported.
	Since time.Time
}
