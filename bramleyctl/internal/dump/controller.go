package dump

// Controller is the state of one process in the control of a pair, which is a service in a data
// centre. It has no JSON tags: its fields have the names of the entry process's own type.
type Controller struct {
	Role       string
	Term       uint32
	Succession struct{ Members []Member }
	// Promised is the member that the process has promised to support as controller in PromisedTerm.
	Promised     Member
	PromisedTerm uint32
	// Moving is the number of shards that are moving between upstreams.
	Moving int
}
