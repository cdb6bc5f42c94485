package hotkey

import "time"

// Counter counts the load of one key.
type Counter struct {
	Key string
	// Load is the estimated service time. It is never too low and at most Error too high.
	Load  time.Duration
	Error time.Duration
	// index is the position in the heap.
	index int
}

// counterHeap implements heap.Interface; the counter with the least load comes first.
type counterHeap []*Counter

func (h counterHeap) Len() int { return len(h) }

func (h counterHeap) Less(i, j int) bool { return h[i].Load < h[j].Load }

func (h counterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends a counter; package heap then moves it to its place.
func (h *counterHeap) Push(x any) {
	c := x.(*Counter)
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop removes the last counter, to which package heap has moved the least one.
func (h *counterHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
