package control

// SupportRequest asks a member not to support any other controller for the lease time.
type SupportRequest struct {
	Pair Pair
	Term uint32
	// Record is the version of the succession record that the candidate goes by.
	Record    int64
	Candidate Member
	// Table is the candidate's table or nil if the member has acknowledged its version.
	Table *Table
}

// SupportResponse answers a SupportRequest.
type SupportResponse struct {
	Pair     Pair
	Accepted bool
	// Term is the highest term that the member has supported.
	Term uint32
	// Record is the version of the newest succession record that the member knows.
	Record int64
	Member Member
	// Table is the newest table that the member holds, sent if it is newer than the candidate's.
	Table *Table
}
