package server

import "sync/atomic"

// callKind is a kind of API call.
type callKind int

// The kinds of calls; callKinds is their number.
const (
	callGet callKind = iota
	callList
	callPut
	callDelete
	callWatch
	callVMs
	callKinds
)

// callCounter counts calls by kind, whether they succeed or not; a watch counts once, however long
// it waits.
type callCounter struct {
	counts [callKinds]atomic.Int64
}

func (c *callCounter) count(k callKind) {
	c.counts[k].Add(1)
}

// callsJSON is the JSON form of the number of calls of each kind.
type callsJSON struct {
	Get    int64 `json:"get"`
	List   int64 `json:"list"`
	Put    int64 `json:"put"`
	Delete int64 `json:"delete"`
	Watch  int64 `json:"watch"`
	VMs    int64 `json:"vms"`
	Total  int64 `json:"total"`
}

func (c *callCounter) encode() callsJSON {
	n := callsJSON{
		Get:    c.counts[callGet].Load(),
		List:   c.counts[callList].Load(),
		Put:    c.counts[callPut].Load(),
		Delete: c.counts[callDelete].Load(),
		Watch:  c.counts[callWatch].Load(),
		VMs:    c.counts[callVMs].Load(),
	}
	n.Total = n.Get + n.List + n.Put + n.Delete + n.Watch + n.VMs
	return n
}
