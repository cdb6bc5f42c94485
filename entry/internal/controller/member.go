package controller

import (
	"time"

	"bramleystand.org/entry/internal/control"
)

// id identifies a process.
type id struct {
	name        string
	incarnation int64
}

func idOf(m control.Member) id {
	return id{m.Name, m.Incarnation}
}

// member is what a candidate or controller knows of another member.
type member struct {
	// supported is the send time of the latest request that the member accepted in the current term.
	supported time.Time
	table     control.Version
	// record is the newest record that the member knows, acknowledged the newest with which it gave support in the current term.
	record       int64
	acknowledged int64
}

func (c *Controller) memberOf(m control.Member) *member {
	k := idOf(m)
	if c.members[k] == nil {
		c.members[k] = &member{}
	}
	return c.members[k]
}
