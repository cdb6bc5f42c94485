package server

import "sync/atomic"

// kind is a kind of call.
type kind int

// The kinds of calls.
const (
	get kind = iota
	list
	put
	remove
	watch
	vms
	kinds
)

// calls counts calls, whether they succeed or not; a waiting watch is one call.
type calls struct {
	counts [kinds]atomic.Int64
}

func (c *calls) count(k kind) {
	c.counts[k].Add(1)
}

// callsJSON holds the number of calls of each kind.
type callsJSON struct {
	Get    int64 `json:"get"`
	List   int64 `json:"list"`
	Put    int64 `json:"put"`
	Delete int64 `json:"delete"`
	Watch  int64 `json:"watch"`
	VMs    int64 `json:"vms"`
	Total  int64 `json:"total"`
}

func (c *calls) encode() callsJSON {
	n := callsJSON{
		Get:    c.counts[get].Load(),
		List:   c.counts[list].Load(),
		Put:    c.counts[put].Load(),
		Delete: c.counts[remove].Load(),
		Watch:  c.counts[watch].Load(),
		VMs:    c.counts[vms].Load(),
	}
	n.Total = n.Get + n.List + n.Put + n.Delete + n.Watch + n.VMs
	return n
}
