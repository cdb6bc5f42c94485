package ticket

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/outcome"
	"bramleystand.org/common/shard"

	"bramleystand.org/entry/internal/control"
)

// Lifetime is how long a ticket can be redeemed after its issue. An upstream with 6 slots runs at most 300
// confirmations of 20 ms per second, so a flood of them leaves at most 90,000 operations in 5 minutes, which is
// within the limits of a table.
const Lifetime = 5 * time.Minute

// maxBodyBytes is the size of the longest response body that is stored.
const maxBodyBytes = 64 << 10

// runningCheckInterval is how often an operation that is still running after the expiry of its ticket is checked.
const runningCheckInterval = time.Second

// Table stores the operations of one upstream lease. It is safe for concurrent use.
type Table struct {
	service    string
	fence      fence.Fence
	leaseStart time.Time
	limits     Limits

	mu             sync.Mutex
	nextSequence   uint64
	histories      map[shard.Shard]*history
	expiryHeap     expiryHeap
	operationCount int
	runningCount   int
	bodyBytes      int
	verdictCounts  [Absent + 1]uint64
}

// New returns the table of a lease that starts now. There must be only one table per lease and fence.
func New(service string, f fence.Fence, limits Limits, now time.Time) *Table {
	return &Table{service: service, fence: f, leaseStart: now, limits: limits, histories: make(map[shard.Shard]*history)}
}

// Add adds a shard without a handover. Tickets that were issued before have an unknown outcome.
func (t *Table) Add(s shard.Shard) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.histories[s] == nil {
		t.startHistory(s)
	}
}

// Receive adds a shard with the history from its previous leaseholder; the durations in the handover count
// from now. If the table already has the shard, for example because the handover is repeated, it returns an error
// and changes nothing.
func (t *Table) Receive(now time.Time, handover Handover) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.histories[handover.Shard] != nil {
		return fmt.Errorf("ticket: shard %d is already in the table of lease %s", handover.Shard, t.fence)
	}
	tickets := make([]Ticket, len(handover.Records))
	for i, r := range handover.Records {
		parsed, err := Parse(r.Ticket)
		if err != nil {
			return fmt.Errorf("ticket: handover of shard %d: record: %w", handover.Shard, err)
		}
		if parsed.Service != t.service || parsed.Shard != handover.Shard {
			return fmt.Errorf("ticket: record of shard %s/%d in the handover of shard %s/%d", parsed.Service, parsed.Shard, t.service, handover.Shard)
		}
		tickets[i] = parsed
	}
	h := t.startHistory(handover.Shard)
	for _, e := range handover.TicketRanges {
		h.ticketRanges = append(h.ticketRanges, localTicketRange{
			fence: e.Fence, first: e.First, next: e.Next, leaseStart: now.Add(-e.Age), expiredAt: now.Add(e.Remaining),
		})
	}
	for i, r := range handover.Records {
		if h.operations[tickets[i]] == nil {
			t.importOperation(now, h, tickets[i], r)
		}
	}
	return nil
}

// Release removes a shard and returns its history, or false if the table does not have the shard. Operations
// that are still running are handed over with an unknown outcome.
func (t *Table) Release(now time.Time, s shard.Shard) (Handover, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(now)
	h := t.histories[s]
	if h == nil {
		return Handover{}, false
	}
	delete(t.histories, s)
	handover := Handover{Shard: s}
	for _, e := range h.ticketRanges {
		if e.next == openEnd {
			e.next, e.expiredAt = t.nextSequence, now.Add(Lifetime)
		}
		if e.first < e.next && e.expiredAt.After(now) {
			handover.TicketRanges = append(handover.TicketRanges, control.TicketRange{
				Fence: e.fence, First: e.first, Next: e.next, Age: now.Sub(e.leaseStart), Remaining: e.expiredAt.Sub(now),
			})
		}
	}
	for _, o := range h.operations {
		handover.Records = append(handover.Records, newRecord(now, o))
		t.remove(h, o)
	}
	slices.SortFunc(handover.Records, func(a, b control.Record) int { return cmp.Compare(a.Ticket, b.Ticket) })
	return handover, true
}

// Issue returns a new ticket for a key in the shard.
func (t *Table) Issue(now time.Time, s shard.Shard, key string) (Ticket, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.histories[s] == nil {
		return Ticket{}, fmt.Errorf("ticket: shard %d is not in lease %s of %s", s, t.fence, t.service)
	}
	issued := Ticket{
		Service: t.service, Shard: s, KeyHash: xxhash.Sum64String(key), Fence: t.fence,
		Sequence: t.nextSequence, Expiry: now.Add(Lifetime).Sub(t.leaseStart).Milliseconds(), Random: rand.Uint64(),
	}
	t.nextSequence++
	return issued, nil
}

// Redeem returns how to handle the request of a ticket. It also returns the operation if the verdict is Run, Join
// or Stored.
func (t *Table) Redeem(now time.Time, presented Ticket) (Verdict, *Operation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(now)
	verdict, operation := t.redeemLocked(now, presented)
	t.verdictCounts[verdict]++
	return verdict, operation
}

// Finish stores the response of an operation for which Redeem returned Run. An operation that was not run is
// removed, so that its ticket can be redeemed again. Finish reports whether this was the first response; later
// ones are ignored.
func (t *Table) Finish(o *Operation, result Result) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o.finished {
		return false
	}
	if len(result.Body) > maxBodyBytes {
		result.Body, result.Truncated = nil, true
	}
	o.result, o.finished = result, true
	close(o.done)
	if !o.inTable {
		return true
	}
	t.runningCount--
	t.bodyBytes += len(result.Body)
	if result.Outcome == outcome.NotRun {
		t.remove(t.histories[o.ticket.Shard], o)
	}
	return true
}

// Expire removes operations whose tickets have expired.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(now)
}

// State returns a snapshot of the table.
func (t *Table) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := State{
		Service: t.service, Fence: t.fence, Shards: len(t.histories), Issued: t.nextSequence,
		Operations: t.operationCount, Running: t.runningCount, Bytes: t.bodyBytes, Verdicts: make(map[string]uint64),
	}
	for v, n := range t.verdictCounts {
		s.Verdicts[Verdict(v).String()] = n
	}
	return s
}

// startHistory adds a history for a shard, with an open ticket range that begins at the next ticket. The mutex is held.
func (t *Table) startHistory(s shard.Shard) *history {
	h := &history{operations: make(map[Ticket]*Operation)}
	h.ticketRanges = append(h.ticketRanges, localTicketRange{fence: t.fence, first: t.nextSequence, next: openEnd, leaseStart: t.leaseStart})
	t.histories[s] = h
	return h
}

// redeemLocked implements Redeem without the counters. The mutex is held.
func (t *Table) redeemLocked(now time.Time, presented Ticket) (Verdict, *Operation) {
	h := t.histories[presented.Shard]
	if h == nil || presented.Service != t.service {
		return Absent, nil
	}
	if o := h.operations[presented]; o != nil {
		switch {
		case !o.finished:
			return Join, o
		case o.result.Outcome == outcome.Ran:
			return Stored, o
		}
		return Unknown, nil
	}
	ticketRange, ok := h.ticketRange(presented)
	if !ok || !ticketRange.expiry(presented).After(now) {
		return Unknown, nil
	}
	if t.operationCount >= t.limits.Operations || t.bodyBytes+(t.runningCount+1)*maxBodyBytes > t.limits.Bytes {
		return Full, nil
	}
	o := &Operation{ticket: presented, expires: ticketRange.expiry(presented), done: make(chan struct{})}
	t.insert(h, o)
	return Run, o
}

// importOperation adds the operation of a handed-over record. An operation without a response has an unknown
// outcome. The mutex is held.
func (t *Table) importOperation(now time.Time, h *history, parsed Ticket, r control.Record) {
	o := &Operation{ticket: parsed, expires: now.Add(r.Remaining), done: make(chan struct{}), finished: true}
	if r.Done {
		o.result = Result{Outcome: r.Outcome, Status: r.Status, Type: r.Type, Body: r.Body}
	}
	close(o.done)
	t.insert(h, o)
}

// insert adds an operation to the table. The mutex is held.
func (t *Table) insert(h *history, o *Operation) {
	h.operations[o.ticket] = o
	o.inTable = true
	heap.Push(&t.expiryHeap, o)
	t.operationCount++
	if o.finished {
		t.bodyBytes += len(o.result.Body)
	} else {
		t.runningCount++
	}
}

// remove deletes an operation from the table. The mutex is held.
func (t *Table) remove(h *history, o *Operation) {
	delete(h.operations, o.ticket)
	heap.Remove(&t.expiryHeap, o.heapIndex)
	o.inTable = false
	t.operationCount--
	if o.finished {
		t.bodyBytes -= len(o.result.Body)
	} else {
		t.runningCount--
	}
}

// expireLocked removes expired operations. An operation that is still running stays until it has a response. The
// mutex is held.
func (t *Table) expireLocked(now time.Time) {
	for len(t.expiryHeap) > 0 && !t.expiryHeap[0].expires.After(now) {
		o := t.expiryHeap[0]
		if !o.finished {
			o.expires = now.Add(runningCheckInterval)
			heap.Fix(&t.expiryHeap, 0)
			continue
		}
		t.remove(t.histories[o.ticket.Shard], o)
	}
}

// newRecord returns the record of an operation for a handover. A running operation and one with a truncated body
// are recorded as not done.
func newRecord(now time.Time, o *Operation) control.Record {
	r := control.Record{Ticket: o.ticket.String(), Remaining: max(o.expires.Sub(now), 0)}
	if o.finished && !o.result.Truncated {
		r.Done, r.Outcome, r.Status, r.Type, r.Body = true, o.result.Outcome, o.result.Status, o.result.Type, o.result.Body
	}
	return r
}
