package dump

// Controller is a process's part in the control of a pair. The names are those of the process's own type.
type Controller struct {
	Role       string
	Term       uint32
	Succession struct{ Members []Member }
	// Promised is the member that the process supports in PromisedTerm.
	Promised     Member
	PromisedTerm uint32
	// Moving is the number of shards that are being moved.
	Moving int
}
