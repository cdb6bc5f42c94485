// Package clock provides the monotonic clock of a server process.
//
// Readings start at the Unix time of the start and then follow the monotonic
// clock only. So readings of servers on one machine can be compared, and a grant
// computed for an earlier process at the same address does not reach far into
// the future of its successor.
//
// # Usage
//
//	c := clock.New(time.Now())
//	until := c.Now() + time.Second
package clock

import "time"

// Clock counts from the start of the process.
type Clock struct {
	start time.Time
}

// New returns a clock for a process that started at the given time.
func New(start time.Time) *Clock {
	return &Clock{start: start}
}

// Now returns the current reading.
func (c *Clock) Now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// Incarnation identifies the process; a later process has a greater one.
func (c *Clock) Incarnation() int64 {
	return c.start.UnixNano()
}
