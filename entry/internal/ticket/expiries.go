package ticket

// expiries is a heap of operations, the first to expire on top.
type expiries []*Operation

func (e expiries) Len() int           { return len(e) }
func (e expiries) Less(i, j int) bool { return e[i].expires.Before(e[j].expires) }

// Swap exchanges two operations and keeps their indices.
func (e expiries) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].index, e[j].index = i, j
}

// Push appends an operation.
func (e *expiries) Push(x any) {
	o := x.(*Operation)
	o.index = len(*e)
	*e = append(*e, o)
}

// Pop removes the last operation.
func (e *expiries) Pop() any {
	old := *e
	o := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return o
}
