package control

import "time"

// RenewRequest asks a controller to extend the leases of a member.
type RenewRequest struct {
	Pair   Pair
	Member Member
	// Sequence increases with every request of the member.
	Sequence uint64
	// Applied is the version of the latest answer that the member has accepted.
	Applied Version
	Reports []Report
	// Resigning asks the controller to move all of the member's leases to others.
	Resigning bool
}

// RenewResponse extends leases. The lessee counts Remaining from the time it sent the request.
type RenewResponse struct {
	Pair Pair
	// Accepted is false if the receiver is not the controller of the pair or has no authority.
	Accepted bool
	Term     uint32
	// Sequence increases with every answer of the term; a lessee ignores answers older than one it has accepted.
	Sequence   uint64
	Controller Member
	Remaining  time.Duration
	// Leases lists all leases of the member; a lease that is missing has ended.
	Leases []Lease
}
