package balance

// serverHeap implements heap.Interface; the least loaded server is on top.
type serverHeap struct {
	servers []*server
}

func (h serverHeap) Len() int           { return len(h.servers) }
func (h serverHeap) Less(i, j int) bool { return compareLoad(h.servers[i], h.servers[j]) < 0 }
func (h serverHeap) Swap(i, j int)      { h.servers[i], h.servers[j] = h.servers[j], h.servers[i] }

// Push is not used, because no server is added while a plan is made.
func (h serverHeap) Push(any) {}

// Pop is not used, because no server is removed while a plan is made.
func (h serverHeap) Pop() any { return nil }
