package cluster

import (
	"time"

	"github.com/apex/log"

	"bramleystand.org/entry/internal/report"
)

const (
	// minOffsetChange is the change of a clock offset that is logged at once. Messages take a few
	// milliseconds.
	minOffsetChange = 50 * time.Millisecond
	// offsetLogInterval is the time between two log lines about an offset that has not changed.
	offsetLogInterval = time.Minute
)

// clockComparison holds the last logged offset between this process's clock and the coordinator's.
// The log lines allow the logs of several VMs to be put in order. Only the follow loop uses it.
type clockComparison struct {
	coordinator string
	offset      time.Duration
	nextLog     time.Time
}

// setCoordinator starts a new comparison if the coordinator has changed.
func (c *clockComparison) setCoordinator(coordinator string) {
	if c.coordinator != coordinator {
		*c = clockComparison{coordinator: coordinator}
	}
}

// shouldLog reports whether an offset must be logged, and then records it as logged.
func (c *clockComparison) shouldLog(now time.Time, offset time.Duration) bool {
	if now.Before(c.nextLog) && (offset-c.offset).Abs() < minOffsetChange {
		return false
	}
	c.offset, c.nextLog = offset, now.Add(offsetLogInterval)
	return true
}

// compareClocks logs by how much the clock of this process is ahead of the coordinator's.
func (n *Node) compareClocks(now time.Time, u report.Update) {
	// Round removes the monotonic clock reading, which the coordinator's time does not have.
	if ahead := now.Round(0).Sub(u.Sent); n.clockOffset.shouldLog(now, ahead) {
		n.logger.WithFields(log.Fields{"coordinator": n.clockOffset.coordinator, "ahead": ahead.Milliseconds()}).Info("clock compared")
	}
}
