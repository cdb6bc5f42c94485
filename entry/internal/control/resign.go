package control

// ResignRequest releases the members from their promises to a controller that stops.
type ResignRequest struct {
	Pair  Pair
	Term  uint32
	From  Member
	Table *Table
}
