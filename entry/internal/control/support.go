package control

import "time"

// SupportRequest asks a member for its support: a promise not to support any other controller
// for the lease time.
type SupportRequest struct {
	Pair Pair
	Term uint32
	// Record is the version of the succession record that the candidate uses.
	Record int64
	// Succession is the record itself, or nil if the member has already acknowledged this version.
	Succession *Succession
	// FormerSuperseded means that a majority of the former members has acknowledged the record, so that only
	// the current members count.
	FormerSuperseded bool
	// MembersLost means that too many members of the record are gone for a majority, so that only the
	// former members count.
	MembersLost bool
	// Elected means that the candidate has already won the election of this term.
	Elected   bool
	Candidate Member
	// Version is the version of the candidate's table.
	Version Version
	// Table is the candidate's table, or nil if the member has already acknowledged its version.
	Table *Table
}

// SupportResponse is the response to a SupportRequest.
type SupportResponse struct {
	Pair     Pair
	Accepted bool
	// IsCandidate means that the member refused because it is a candidate itself and precedes the sender
	// in the succession.
	IsCandidate bool
	// Term is the highest term that the member has supported.
	Term uint32
	// Record is the version of the newest succession record that the member knows.
	Record int64
	// Succession is that record if it is newer than the candidate's, otherwise nil.
	Succession *Succession
	Member     Member
	// Version is the version of the newest table that the member holds.
	Version Version
	// Table is that table if it is newer than the candidate's, otherwise nil.
	Table *Table
	// LeasesOutstanding is the time for which leases granted by other controllers may still be in use.
	// It is positive only after a controller has resigned.
	LeasesOutstanding time.Duration
}
