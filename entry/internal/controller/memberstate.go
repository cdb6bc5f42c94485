package controller

import (
	"time"

	"bramleystand.org/entry/internal/control"
)

// processID identifies one incarnation of an entry process.
type processID struct {
	name        string
	incarnation int64
}

func processIDOf(m control.Member) processID {
	return processID{m.Name, m.Incarnation}
}

// memberState is what a candidate or controller knows of another member.
type memberState struct {
	// lastSupport is the send time of the latest support request that the member accepted in the current term.
	lastSupport time.Time
	// tableVersion is the version of the newest table that the member holds.
	tableVersion control.Version
	// record is the version of the newest succession record that the member knows, acknowledgedVersion that of
	// the newest with which it gave support in the current term.
	record              int64
	acknowledgedVersion int64
}

func (c *Controller) memberOf(m control.Member) *memberState {
	k := processIDOf(m)
	if c.members[k] == nil {
		c.members[k] = &memberState{}
	}
	return c.members[k]
}
