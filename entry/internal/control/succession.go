package control

// Succession records who may control a pair, in the order of succession.
type Succession struct {
	Pair Pair
	Term uint32
	// Version is the platform's version of the record.
	Version int64
	// Members holds up to three members; the first is the controller of Term.
	Members []Member
}
