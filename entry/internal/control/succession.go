package control

// Succession records who may control a pair, in the order of succession.
type Succession struct {
	Pair Pair
	Term uint32
	// Version is the platform's version of the record.
	Version int64
	// Members holds up to three members; the first is the controller of Term.
	Members []Member
	// Former holds the members that this record replaces. Until the change is known to be
	// settled, a majority of both sets is needed. It is empty if the members didn't change.
	Former []Member
	// Founded is the term in which the record was created or last reset.
	Founded uint32
}
