// Package clock provides the monotonic clock of a server process.
//
// Readings begin at the Unix time of the process start and then follow the
// monotonic clock only. Readings of servers on one machine can therefore be
// compared, and the expiry of a grant computed for an earlier process at the same
// address is not far in the future for the process that replaced it.
//
// # Usage
//
//	c := clock.New(time.Now())
//	until := c.Now() + time.Second
package clock

import "time"

// Clock is a monotonic clock that counts from the start of the process.
type Clock struct {
	start time.Time
}

// New returns a clock for a process that started at the given time.
func New(start time.Time) *Clock {
	return &Clock{start: start}
}

// Now returns the current reading, in time since the Unix epoch.
func (c *Clock) Now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// Incarnation returns a number that identifies the process. A process that starts
// later has a greater one.
func (c *Clock) Incarnation() int64 {
	return c.start.UnixNano()
}
