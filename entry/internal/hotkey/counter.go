package hotkey

import "time"

// Counter is the load of one key.
type Counter struct {
	Key string
	// Load is the counted service time; it is at most Error too high.
	Load  time.Duration
	Error time.Duration
	index int
}

// counters is a heap with the smallest load first.
type counters []*Counter

func (h counters) Len() int { return len(h) }

func (h counters) Less(i, j int) bool { return h[i].Load < h[j].Load }

func (h counters) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *counters) Push(x any) {
	c := x.(*Counter)
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *counters) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
