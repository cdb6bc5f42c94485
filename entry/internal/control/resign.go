package control

// ResignRequest tells the members that a controller is stopping. It releases them from their
// promise to support no other controller.
type ResignRequest struct {
	Pair  Pair
	Term  uint32
	From  Member
	Table *Table
}
