// Package statement handles what backend servers state about themselves in their responses: that they leave,
// that they take no requests from this process until a time, or that they are another server than the expected
// one, which has ended.
//
// That a server leaves is evidence of its own beside the server's entry in the store, whichever comes first. It
// is final for the instance, and holds without the store and without other processes: the process marks the
// server as draining in its view, so that its own requests to it stop. Each process reports the servers that
// it has heard to the coordinator, which moves their keys.
//
// A hold binds only the process that has got the response, and the instance that has made it. It ends at the
// time that was stated; a later response does not shorten it. Reports tell the coordinator of the holds,
// so that it gives a server that many processes may not send to fewer keys.
//
// # Usage
//
//	table := statement.NewTable(view, logger)
//	table.ObserveLeaving(now, instance)
//	report.Leaving = table.Leaving(now)
//	table.MergeLeaving(now, instance, reporter)
//	table.ObserveEnded(now, instance, other)
//	table.HoldOff(now, instance, until)
//	until, held := table.HeldUntil(now, instance)
package statement

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"bramleystand.org/common/registry"
)

const (
	// reportTime is how long a statement is reported after the last response that made it, so that a new
	// coordinator learns of it too. maxReported limits the servers in one report.
	reportTime  = 5 * time.Second
	maxReported = 256
	// maxHolds limits the holds that are kept, and holdLogInterval is the time between two log lines about
	// holds of the same server.
	maxHolds        = 1024
	holdLogInterval = 10 * time.Second
	// invalidLogInterval is the time between two log lines about unusable statements.
	invalidLogInterval = 10 * time.Second
)

// View is told which servers leave and which have ended.
type View interface {
	// SetLeaving marks a server as leaving, and reports whether that is new.
	SetLeaving(now time.Time, inst registry.Instance) bool
	// SetEnded marks a server as ended, and reports whether that is new.
	SetEnded(now time.Time, inst registry.Instance) bool
}

// Table holds the statements that responses to this process have made lately. It is safe for concurrent use.
type Table struct {
	view   View
	logger log.Interface

	// created is when the table was created, and lastEnd the end of the hold that ends last, as the time since
	// then. A Unix time would end holds early when the time of day jumps. lastEnd spares the lock while there is
	// no hold, because every request asks for several servers.
	created time.Time
	lastEnd atomic.Int64

	mu sync.Mutex
	// heard holds the time of the last response that stated that its server leaves.
	heard map[registry.Instance]time.Time
	holds map[registry.Instance]hold
	// held counts the responses that have stated a hold.
	held int
	// servers counts the servers that were marked as leaving, and invalid the responses with a statement
	// that can't be used.
	servers        int
	invalid        int
	nextInvalidLog time.Time
}

// hold is the time until which a server takes no requests from this process.
type hold struct {
	until   time.Time
	nextLog time.Time
}

// NewTable returns a table without statements.
func NewTable(v View, logger log.Interface) *Table {
	return &Table{view: v, logger: logger, created: time.Now(), heard: make(map[registry.Instance]time.Time), holds: make(map[registry.Instance]hold)}
}

// ObserveLeaving records that a response that has arrived now states that its server leaves.
func (t *Table) ObserveLeaving(now time.Time, inst registry.Instance) {
	t.mu.Lock()
	t.heard[inst] = now
	t.mu.Unlock()
	t.mark(now, inst, "")
}

// MergeLeaving records that another process has heard from a server that it leaves.
func (t *Table) MergeLeaving(now time.Time, inst registry.Instance, from string) {
	t.mark(now, inst, from)
}

// mark marks a server as leaving in the view and logs it the first time.
func (t *Table) mark(now time.Time, inst registry.Instance, from string) {
	if !t.view.SetLeaving(now, inst) {
		return
	}
	t.mu.Lock()
	t.servers++
	t.mu.Unlock()
	fields := log.Fields{"server": inst.ID, "life": inst.Incarnation}
	if from != "" {
		fields["from"] = from
	}
	t.logger.WithFields(fields).Info("server states that it leaves")
}

// ObserveEnded records that the server with the identifier other has answered at the address of a server, which
// has ended therefore.
func (t *Table) ObserveEnded(now time.Time, inst registry.Instance, other string) {
	if t.view.SetEnded(now, inst) {
		t.logger.WithFields(log.Fields{"server": inst.ID, "life": inst.Incarnation, "other": other}).Info("another server answers at the address of a server")
	}
}

// HoldOff records that a server takes no requests from this process until a time.
func (t *Table) HoldOff(now time.Time, inst registry.Instance, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held++
	h, known := t.holds[inst]
	if !until.After(now) || !until.After(h.until) {
		return
	}
	if !known && len(t.holds) >= maxHolds {
		t.dropHold(now)
	}
	h.until = until
	t.lastEnd.Store(max(t.lastEnd.Load(), int64(until.Sub(t.created))))
	if !now.Before(h.nextLog) {
		h.nextLog = now.Add(holdLogInterval)
		t.logger.WithFields(log.Fields{"server": inst.ID, "life": inst.Incarnation, "ms": until.Sub(now).Milliseconds()}).Info("server takes no requests from this process for a time")
	}
	t.holds[inst] = h
}

// dropHold makes room for another hold: it drops those that have ended or, if there is none, the one that ends
// first. The lock is held.
func (t *Table) dropHold(now time.Time) {
	var first registry.Instance
	var firstEnd time.Time
	for inst, h := range t.holds {
		if !now.Before(h.until) {
			delete(t.holds, inst)
		} else if firstEnd.IsZero() || h.until.Before(firstEnd) {
			first, firstEnd = inst, h.until
		}
	}
	if len(t.holds) >= maxHolds {
		delete(t.holds, first)
	}
}

// HeldUntil returns the time until which a server takes no requests from this process, or false if it takes
// them.
func (t *Table) HeldUntil(now time.Time, inst registry.Instance) (time.Time, bool) {
	if int64(now.Sub(t.created)) >= t.lastEnd.Load() {
		return time.Time{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.holds[inst]
	return h.until, now.Before(h.until)
}

// Holds returns the servers that take no requests from this process, with the times until which they don't.
func (t *Table) Holds(now time.Time) map[registry.Instance]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[registry.Instance]time.Time)
	for inst, h := range t.holds {
		if now.Before(h.until) {
			out[inst] = h.until
		}
	}
	return out
}

// ObserveInvalid counts a response whose statement can't be used. Such a response changes nothing.
func (t *Table) ObserveInvalid(now time.Time, inst registry.Instance, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.invalid++
	if now.Before(t.nextInvalidLog) {
		return
	}
	t.nextInvalidLog = now.Add(invalidLogInterval)
	t.logger.WithError(err).WithFields(log.Fields{"server": inst.ID, "invalid": t.invalid}).Warn("statement of a server can't be used")
}

// Leaving returns the servers that have stated to this process lately that they leave.
func (t *Table) Leaving(now time.Time) []registry.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []registry.Instance
	for inst, at := range t.heard {
		if now.Sub(at) > reportTime {
			delete(t.heard, inst)
		} else if len(out) < maxReported {
			out = append(out, inst)
		}
	}
	return out
}

// Counts returns the numbers of servers that were marked as leaving, of servers that take no requests from this
// process now, of responses that have stated so, and of responses with a statement that can't be used.
func (t *Table) Counts(now time.Time) map[string]int {
	held := len(t.Holds(now))
	t.mu.Lock()
	defer t.mu.Unlock()
	return map[string]int{"servers": t.servers, "held": held, "holds": t.held, "invalid": t.invalid}
}
