package cluster

import (
	"time"

	"github.com/apex/log"

	"bramleystand.org/entry/internal/coordinator"
	"bramleystand.org/entry/internal/processortime"
)

// workloadInterval is the time between two log lines about the coordinator's work.
const workloadInterval = time.Second

// workload counts what a coordinator has done in its term.
type workload struct {
	// steps counts the executor's steps, tables the writes of a table that the store accepted, expired
	// the orders that were not sent in time, and reports the reports of other processes.
	steps, tables, expired, reports int
	// written is how long the latest write of a table took.
	written time.Duration
	nextLog time.Time
}

// Workload returns what the coordinator does and has done in its term, by service, or nil in another
// process.
func (n *Node) Workload(now time.Time) map[string]any {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.executor == nil {
		return nil
	}
	return n.executor.workloadFields(now)
}

func (s *executor) workloadFields(now time.Time) log.Fields {
	var sum coordinator.Counts
	for _, state := range s.services {
		if state.coordinator == nil {
			continue
		}
		c := state.coordinator.Counts(now)
		sum.Ranges, sum.Moving, sum.Unowned = sum.Ranges+c.Ranges, sum.Moving+c.Moving, sum.Unowned+c.Unowned
		sum.Pending, sum.Silent, sum.Plans = sum.Pending+c.Pending, sum.Silent+c.Silent, sum.Plans+c.Plans
		sum.Delay = max(sum.Delay, c.Delay)
	}
	w := &s.workload
	return log.Fields{
		"ranges": sum.Ranges, "moving": sum.Moving, "unowned": sum.Unowned, "pending": sum.Pending, "silent": sum.Silent, "plans": sum.Plans,
		"delay": sum.Delay.Milliseconds(), "steps": w.steps, "tables": w.tables, "expired": w.expired, "reports": w.reports, "written": w.written.Milliseconds(),
		"grants": s.node.orders["grant"], "failed": s.node.orders["grant failed"], "releases": s.node.orders["release"],
	}
}

// logWorkload logs the coordinator's work each workloadInterval.
func (s *executor) logWorkload(now time.Time) {
	if now.Before(s.workload.nextLog) {
		return
	}
	s.workload.nextLog = now.Add(workloadInterval)
	fields := s.workloadFields(now)
	if used, err := processortime.Used(); err == nil {
		fields["processor"] = used.Milliseconds()
	}
	s.node.logger.WithFields(fields).Info("coordinator's work")
}
