package control

import "time"

// Announcement is what entry processes tell each other about one member: that it exists,
// whether it is leaving, and whether it has stopped answering.
type Announcement struct {
	Member Member
	// SequenceNumber orders the announcements of one incarnation. Only the member itself increments it,
	// when it changes its announcement or refutes a report that it is silent.
	SequenceNumber uint32
	Leaving        bool
	// Silent is set by another member that got no response. The member refutes it with a higher SequenceNumber.
	Silent bool
	// SilentSince is the time at which Silent was reported.
	SilentSince time.Time
}
