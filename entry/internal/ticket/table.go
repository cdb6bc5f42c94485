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

// Lifetime is how long a ticket can be spent after its issue. An upstream of 6 slots runs at most 300
// confirmations of 20 ms a second, so that a flood of them leaves 90,000 records, within the limits of a table.
const Lifetime = 5 * time.Minute

// maxBody is the size of the longest answer that is kept.
const maxBody = 64 << 10

// runningCheck is how often an operation that runs beyond the expiry of its ticket is looked at.
const runningCheck = time.Second

// Table holds the operations of one upstream lease. It is safe for concurrent use.
type Table struct {
	service string
	fence   fence.Fence
	started time.Time
	limits  Limits

	mu        sync.Mutex
	sequence  uint64
	histories map[shard.Shard]*history
	expiries  expiries
	total     int
	running   int
	bytes     int
	verdicts  [Absent + 1]uint64
}

// New returns the table of a lease that starts now. A lease and its fence have one table only.
func New(service string, f fence.Fence, limits Limits, now time.Time) *Table {
	return &Table{service: service, fence: f, started: now, limits: limits, histories: make(map[shard.Shard]*history)}
}

// Add takes a shard without a handover: tickets issued before now have an unknown outcome.
func (t *Table) Add(s shard.Shard) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.histories[s] == nil {
		t.add(s)
	}
}

// Receive takes a shard with the history of its previous leaseholder, counted from now.
// A repeated handover of a shard that the table has is an error and changes nothing.
func (t *Table) Receive(now time.Time, in Handover) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.histories[in.Shard] != nil {
		return fmt.Errorf("ticket: shard %d of %s is already in the table", in.Shard, t.fence)
	}
	tickets := make([]Ticket, len(in.Records))
	for i, r := range in.Records {
		parsed, err := Parse(r.Ticket)
		if err != nil {
			return fmt.Errorf("ticket: record of shard %d: %w", in.Shard, err)
		}
		if parsed.Service != t.service || parsed.Shard != in.Shard {
			return fmt.Errorf("ticket: record of %s/%d handed over with %s/%d", parsed.Service, parsed.Shard, t.service, in.Shard)
		}
		tickets[i] = parsed
	}
	h := t.add(in.Shard)
	for _, e := range in.Epochs {
		h.spans = append(h.spans, span{
			fence: e.Fence, first: e.First, next: e.Next, started: now.Add(-e.Age), until: now.Add(e.Remaining),
		})
	}
	for i, r := range in.Records {
		if h.operations[tickets[i]] == nil {
			t.receive(now, h, tickets[i], r)
		}
	}
	return nil
}

// Release gives up a shard and returns its history; operations that still run are handed over as unknown.
func (t *Table) Release(now time.Time, s shard.Shard) (Handover, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	h := t.histories[s]
	if h == nil {
		return Handover{}, false
	}
	delete(t.histories, s)
	out := Handover{Shard: s}
	for _, e := range h.spans {
		if e.next == open {
			e.next, e.until = t.sequence, now.Add(Lifetime)
		}
		if e.first < e.next && e.until.After(now) {
			out.Epochs = append(out.Epochs, control.Epoch{
				Fence: e.fence, First: e.first, Next: e.next, Age: now.Sub(e.started), Remaining: e.until.Sub(now),
			})
		}
	}
	for _, o := range h.operations {
		out.Records = append(out.Records, record(now, o))
		t.drop(h, o)
	}
	slices.SortFunc(out.Records, func(a, b control.Record) int { return cmp.Compare(a.Ticket, b.Ticket) })
	return out, true
}

// Issue returns a new ticket for a key of the shard.
func (t *Table) Issue(now time.Time, s shard.Shard, key string) (Ticket, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.histories[s] == nil {
		return Ticket{}, fmt.Errorf("ticket: shard %d is not in lease %s of %s", s, t.fence, t.service)
	}
	issued := Ticket{
		Service: t.service, Shard: s, Key: xxhash.Sum64String(key), Fence: t.fence,
		Sequence: t.sequence, Expiry: now.Add(Lifetime).Sub(t.started).Milliseconds(), Random: rand.Uint64(),
	}
	t.sequence++
	return issued, nil
}

// Spend returns what to do with a ticket, and its operation for Run, Join and Stored.
func (t *Table) Spend(now time.Time, spent Ticket) (Verdict, *Operation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	verdict, operation := t.spend(now, spent)
	t.verdicts[verdict]++
	return verdict, operation
}

// Finish stores the answer of an operation that Spend told to run. An operation that was not run
// is forgotten, so that its ticket can be spent again. It reports whether this was the first answer.
func (t *Table) Finish(o *Operation, answer Answer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o.ended {
		return false
	}
	if len(answer.Body) > maxBody {
		answer.Body, answer.Truncated = nil, true
	}
	o.answer, o.ended = answer, true
	close(o.done)
	if !o.held {
		return true
	}
	t.running--
	t.bytes += len(answer.Body)
	if answer.Outcome == outcome.NotRun {
		t.drop(t.histories[o.ticket.Shard], o)
	}
	return true
}

// Expire forgets operations whose tickets have expired.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
}

// State returns a snapshot.
func (t *Table) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := State{
		Service: t.service, Fence: t.fence, Shards: len(t.histories), Issued: t.sequence,
		Operations: t.total, Running: t.running, Bytes: t.bytes, Verdicts: make(map[string]uint64),
	}
	for v, n := range t.verdicts {
		s.Verdicts[Verdict(v).String()] = n
	}
	return s
}

// add starts the open epoch of a shard.
func (t *Table) add(s shard.Shard) *history {
	h := &history{operations: make(map[Ticket]*Operation)}
	h.spans = append(h.spans, span{fence: t.fence, first: t.sequence, next: open, started: t.started})
	t.histories[s] = h
	return h
}

// spend decides on a ticket.
func (t *Table) spend(now time.Time, spent Ticket) (Verdict, *Operation) {
	h := t.histories[spent.Shard]
	if h == nil || spent.Service != t.service {
		return Absent, nil
	}
	if o := h.operations[spent]; o != nil {
		switch {
		case !o.ended:
			return Join, o
		case o.answer.Outcome == outcome.Ran:
			return Stored, o
		}
		return Unknown, nil
	}
	covering, ok := h.covering(spent)
	if !ok || !covering.expiry(spent).After(now) {
		return Unknown, nil
	}
	if t.total >= t.limits.Operations || t.bytes+(t.running+1)*maxBody > t.limits.Bytes {
		return Full, nil
	}
	o := &Operation{ticket: spent, expires: covering.expiry(spent), done: make(chan struct{})}
	t.hold(h, o)
	return Run, o
}

// receive takes over one operation.
func (t *Table) receive(now time.Time, h *history, k Ticket, r control.Record) {
	o := &Operation{ticket: k, expires: now.Add(r.Remaining), done: make(chan struct{}), ended: true}
	if r.Done {
		o.answer = Answer{Outcome: r.Outcome, Status: r.Status, Type: r.Type, Body: r.Body}
	}
	close(o.done)
	t.hold(h, o)
}

// hold includes an operation in the table.
func (t *Table) hold(h *history, o *Operation) {
	h.operations[o.ticket] = o
	o.held = true
	heap.Push(&t.expiries, o)
	t.total++
	if o.ended {
		t.bytes += len(o.answer.Body)
	} else {
		t.running++
	}
}

// drop removes an operation from the table.
func (t *Table) drop(h *history, o *Operation) {
	delete(h.operations, o.ticket)
	heap.Remove(&t.expiries, o.index)
	o.held = false
	t.total--
	if o.ended {
		t.bytes -= len(o.answer.Body)
	} else {
		t.running--
	}
}

// expire forgets what has expired; an operation that still runs stays until it has an answer.
func (t *Table) expire(now time.Time) {
	for len(t.expiries) > 0 && !t.expiries[0].expires.After(now) {
		o := t.expiries[0]
		if !o.ended {
			o.expires = now.Add(runningCheck)
			heap.Fix(&t.expiries, 0)
			continue
		}
		t.drop(t.histories[o.ticket.Shard], o)
	}
}

// record returns the record of an operation for a handover.
func record(now time.Time, o *Operation) control.Record {
	r := control.Record{Ticket: o.ticket.String(), Remaining: max(o.expires.Sub(now), 0)}
	if o.ended && !o.answer.Truncated {
		r.Done, r.Outcome, r.Status, r.Type, r.Body = true, o.answer.Outcome, o.answer.Status, o.answer.Type, o.answer.Body
	}
	return r
}
