package control

import "time"

// SupportRequest asks a member not to support any other controller for the lease time.
type SupportRequest struct {
	Pair Pair
	Term uint32
	// Record is the version of the succession record that the candidate goes by.
	Record int64
	// Succession is the record itself or nil if the member has acknowledged its version.
	Succession *Succession
	// Settled says that a majority of the former members has acknowledged the record.
	Settled bool
	// Void says that too many of the record's members are gone, so that only the former members count.
	Void bool
	// Elected says that the candidate has been elected in this term.
	Elected   bool
	Candidate Member
	// Version is the version of the candidate's table.
	Version Version
	// Table is the candidate's table or nil if the member has acknowledged its version.
	Table *Table
}

// SupportResponse answers a SupportRequest.
type SupportResponse struct {
	Pair     Pair
	Accepted bool
	// Rival says that the member refused because it is a candidate that comes first in the succession.
	Rival bool
	// Term is the highest term that the member has supported.
	Term uint32
	// Record is the version of the newest succession record that the member knows.
	Record int64
	// Succession is that record, sent if it is newer than the candidate's.
	Succession *Succession
	Member     Member
	// Version is the version of the newest table that the member holds.
	Version Version
	// Table is that table, sent if it is newer than the candidate's.
	Table *Table
	// Outstanding is how long leases of other controllers may still be in use; it is positive only after a resignation.
	Outstanding time.Duration
}
