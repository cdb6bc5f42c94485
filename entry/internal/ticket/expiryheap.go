package ticket

// expiryHeap is a min-heap of operations ordered by expiry. It implements heap.Interface.
type expiryHeap []*Operation

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

// Swap exchanges two operations and updates their heap indices.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push appends an operation and sets its heap index.
func (h *expiryHeap) Push(x any) {
	o := x.(*Operation)
	o.heapIndex = len(*h)
	*h = append(*h, o)
}

// Pop removes and returns the last operation.
func (h *expiryHeap) Pop() any {
	operations := *h
	o := operations[len(operations)-1]
	operations[len(operations)-1] = nil
	*h = operations[:len(operations)-1]
	return o
}
