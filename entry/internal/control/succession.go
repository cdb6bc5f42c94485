package control

// Succession is the record of the members that may control a pair, in the order in which they
// take over.
type Succession struct {
	Pair Pair
	Term uint32
	// Version is the version of the platform object that holds the record.
	Version int64
	// Members holds up to three members; the first is the controller of Term.
	Members []Member
	// Former holds the members of the record that this one replaces. Until the change is
	// known to be settled (see SupportRequest), decisions need a majority of both sets. It is empty
	// if the members did not change.
	Former []Member
	// Founded is the term in which the record was created or last reset.
	Founded uint32
}
