package cluster

import (
	"time"

	"github.com/apex/log"

	"bramleystand.org/entry/internal/report"
)

const (
	// clockChange is the change of a difference of clocks that is told at once; messages take a few ms.
	clockChange = 50 * time.Millisecond
	// clockInterval is the time between two lines on a difference that has not changed.
	clockInterval = time.Minute
)

// clocks is what the process has told of the difference between its clock and the coordinator's,
// so that the logs of several VMs can be put in order. Only the loop that follows uses it.
type clocks struct {
	coordinator string
	difference  time.Duration
	next        time.Time
}

// begin notes whose clock is compared.
func (c *clocks) begin(coordinator string) {
	if c.coordinator != coordinator {
		*c = clocks{coordinator: coordinator}
	}
}

// due reports whether a difference is to be told.
func (c *clocks) due(now time.Time, difference time.Duration) bool {
	if now.Before(c.next) && (difference-c.difference).Abs() < clockChange {
		return false
	}
	c.difference, c.next = difference, now.Add(clockInterval)
	return true
}

// compareClocks logs by how much the clock of this process is ahead of the coordinator's.
func (n *Node) compareClocks(now time.Time, u report.Update) {
	// Round removes the steady clock's reading, which the other side doesn't share.
	if ahead := now.Round(0).Sub(u.Sent); n.clock.due(now, ahead) {
		n.logger.WithFields(log.Fields{"coordinator": n.clock.coordinator, "ahead": ahead.Milliseconds()}).Info("clock compared")
	}
}
