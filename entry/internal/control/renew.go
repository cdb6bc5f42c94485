package control

import "time"

// RenewRequest asks a controller to extend the leases of a member.
type RenewRequest struct {
	Pair   Pair
	Member Member
	// Sequence increases with every request from the member.
	Sequence uint64
	// AcceptedVersion is the version of the latest response that the member has accepted.
	AcceptedVersion Version
	Reports         []UpstreamReport
	// Resigning asks the controller to move all leases of the member to other members.
	Resigning bool
}

// RenewResponse extends leases. The leaseholder counts Remaining from the time at which it sent
// the request.
type RenewResponse struct {
	Pair Pair
	// Accepted is false if the responder is not the controller of the pair or its authority has
	// expired.
	Accepted bool
	Term     uint32
	// Sequence increases with every response of a term. A leaseholder ignores responses older than
	// the latest one that it has accepted.
	Sequence   uint64
	Controller Member
	Remaining  time.Duration
	// Leases lists all leases of the member; a lease that is not listed has ended.
	Leases []Lease
}
