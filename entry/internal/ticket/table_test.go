package ticket_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/outcome"
	"bramleystand.org/common/shard"

	"bramleystand.org/entry/internal/ticket"
)

const (
	service = "seat-desk"
	moved   = shard.Shard(7)
	key     = "trolley/4711"
)

var (
	epoch = time.Unix(0, 0)
	roomy = ticket.Limits{Operations: 1000, Bytes: 64 << 20}
	ran   = ticket.Answer{Outcome: outcome.Ran, Status: 201, Body: []byte("done")}
)

// newTable returns a table with the shard added.
func newTable(sequence uint32) *ticket.Table {
	t := ticket.New(service, fence.New(1, sequence), roomy, epoch)
	t.Add(moved)
	return t
}

// Guards against damaged or foreign tickets that are taken for another valid one.
func TestParse(t *testing.T) {
	issued, err := newTable(1).Issue(epoch, moved, key)
	must.NoError(t, err)
	text := issued.String()
	parsed, err := ticket.Parse(text)
	must.NoError(t, err)
	must.Eq(t, issued, parsed)
	must.NoError(t, parsed.Check(service, moved, key))
	must.ErrorContains(t, parsed.Check("log-store", moved, key), "service")
	must.ErrorContains(t, parsed.Check(service, 8, key), "shard")
	must.ErrorContains(t, parsed.Check(service, moved, "other"), "key")
	for damaged, want := range map[string]string{
		"":                                 "parts",
		strings.Repeat("x", 300):           "bytes",
		"2" + text[1:]:                     "version",
		text[:len(text)-1]:                 "checksum",
		strings.ToUpper(text):              "checksum",
		strings.Replace(text, "d", "e", 1): "checksum",
		"1~a~x~0~0~0~0~0~0":                "shard",
	} {
		_, err := ticket.Parse(damaged)
		must.ErrorContains(t, err, want)
	}
	rapid.Check(t, func(t *rapid.T) {
		damaged := []byte(text)
		damaged[rapid.IntRange(0, len(text)-1).Draw(t, "index")] = rapid.Byte().Draw(t, "byte")
		if got, err := ticket.Parse(string(damaged)); err == nil {
			must.Eq(t, issued, got)
		}
	})
}

// Guards against callers that see a planned move: answers are lost or unspent tickets are refused.
func TestPlannedMove(t *testing.T) {
	a, b := newTable(1), ticket.New(service, fence.New(1, 2), roomy, epoch)
	spent, _ := a.Issue(epoch, moved, key)
	unspent, _ := a.Issue(epoch, moved, key)
	running, _ := a.Issue(epoch, moved, key)
	verdict, operation := a.Spend(epoch, spent)
	must.Eq(t, ticket.Run, verdict)
	must.True(t, a.Finish(operation, ran))
	_, _ = a.Spend(epoch, running)
	verdict, _ = a.Spend(epoch, running)
	must.Eq(t, ticket.Join, verdict)
	handover, ok := a.Release(epoch.Add(time.Minute), moved)
	must.True(t, ok)
	late := epoch.Add(time.Hour)
	must.NoError(t, b.Receive(late, handover))
	must.Error(t, b.Receive(late, handover))

	verdict, operation = b.Spend(late, spent)
	must.Eq(t, ticket.Stored, verdict)
	must.Eq(t, ran, operation.Answer())
	verdict, _ = b.Spend(late.Add(ticket.Lifetime-time.Minute-1), unspent)
	must.Eq(t, ticket.Run, verdict)
	for _, expired := range []ticket.Ticket{spent, unspent} {
		other := ticket.New(service, fence.New(1, 3), roomy, epoch)
		must.NoError(t, other.Receive(late, handover))
		verdict, _ = other.Spend(late.Add(ticket.Lifetime-time.Minute), expired)
		must.Eq(t, ticket.Unknown, verdict)
	}
	verdict, _ = b.Spend(late, running)
	must.Eq(t, ticket.Unknown, verdict)
	verdict, _ = a.Spend(late, unspent)
	must.Eq(t, ticket.Absent, verdict)
}

// Guards against operations that are forgotten when the table is full, and against answers cut short.
func TestBounds(t *testing.T) {
	table := ticket.New(service, 1, ticket.Limits{Operations: 2, Bytes: 1 << 20}, epoch)
	table.Add(moved)
	var verdict ticket.Verdict
	var operations [3]*ticket.Operation
	var tickets [3]ticket.Ticket
	for i := range tickets {
		tickets[i], _ = table.Issue(epoch, moved, key)
		verdict, operations[i] = table.Spend(epoch, tickets[i])
	}
	must.Eq(t, ticket.Full, verdict)
	must.True(t, table.Finish(operations[0], ticket.Answer{Outcome: outcome.NotRun}))
	verdict, _ = table.Spend(epoch, tickets[2])
	must.Eq(t, ticket.Run, verdict)
	must.True(t, table.Finish(operations[1], ticket.Answer{Outcome: outcome.Ran, Body: make([]byte, 65<<10)}))
	must.False(t, table.Finish(operations[1], ran))
	verdict, stored := table.Spend(epoch, tickets[1])
	must.Eq(t, ticket.Stored, verdict)
	must.True(t, stored.Answer().Truncated)
	table.Expire(epoch.Add(ticket.Lifetime))
	must.Eq(t, 1, table.State().Operations)
	verdict, _ = table.Spend(epoch.Add(ticket.Lifetime), tickets[1])
	must.Eq(t, ticket.Unknown, verdict)
}

// fate is what the oracle knows about a ticket.
type fate struct {
	ticket  ticket.Ticket
	issued  time.Time
	runs    int
	pending bool
	// traceable is false once a table that knew the ticket was lost.
	traceable bool
}

// running is an operation that a backend server has not finished.
type running struct {
	fate      *fate
	table     *ticket.Table
	operation *ticket.Operation
}

// world is one shard that moves between leaseholders with different clocks.
type world struct {
	now    time.Time
	fences uint32
	tables []*ticket.Table
	owner  int
	fates  []*fate
	active []running
}

// clock returns the time on the monotonic clock of a leaseholder.
func (w *world) clock(i int) time.Time { return w.now.Add(time.Duration(i) * 37 * time.Minute) }

// restart gives a leaseholder a new lease without any records.
func (w *world) restart(i int) {
	w.fences++
	w.tables[i] = ticket.New(service, fence.New(1, w.fences), ticket.Limits{Operations: 6, Bytes: 1 << 20}, w.clock(i))
}

// lose makes the fate of all tickets untraceable.
func (w *world) lose() {
	for _, f := range w.fates {
		f.traceable = false
	}
}

// spend sends a ticket to a leaseholder and checks the verdict against the oracle.
func (w *world) spend(t *rapid.T) {
	if len(w.fates) == 0 {
		return
	}
	f := rapid.SampledFrom(w.fates).Draw(t, "ticket")
	i := rapid.IntRange(0, len(w.tables)-1).Draw(t, "leaseholder")
	if rapid.Bool().Draw(t, "owner") {
		i = w.owner
	}
	fresh := f.traceable && f.runs == 0 && !f.pending && w.now.Sub(f.issued) < ticket.Lifetime-time.Millisecond
	verdict, operation := w.tables[i].Spend(w.clock(i), f.ticket)
	switch verdict {
	case ticket.Run:
		must.Zero(t, f.runs)
		must.False(t, f.pending)
		must.Eq(t, w.owner, i)
		f.pending = true
		w.active = append(w.active, running{f, w.tables[i], operation})
	case ticket.Stored:
		must.Eq(t, 1, f.runs)
	case ticket.Full:
		must.Zero(t, f.runs)
		must.False(t, f.pending)
	case ticket.Unknown:
		must.False(t, fresh)
	case ticket.Absent:
		must.NotEq(t, w.owner, i)
	}
}

// finish ends a running operation: it ran, it ran with a lost answer, or it was refused before it started.
func (w *world) finish(t *rapid.T) {
	if len(w.active) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.active)-1).Draw(t, "operation")
	r := w.active[i]
	w.active = append(w.active[:i], w.active[i+1:]...)
	answer := ticket.Answer{Outcome: outcome.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))}
	if answer.Outcome != outcome.NotRun {
		r.fate.runs++
	}
	must.Eq(t, answer.Outcome == outcome.NotRun, r.fate.runs == 0)
	// After a loss or a move, others may not take the operation for one that was never tried.
	r.fate.traceable = r.fate.traceable && r.table == w.tables[w.owner]
	r.fate.pending = false
	must.True(t, r.table.Finish(r.operation, answer))
}

// move hands the shard over to another leaseholder, or loses the handover on the way.
func (w *world) move(t *rapid.T) {
	to := rapid.IntRange(0, len(w.tables)-1).Draw(t, "to")
	handover, ok := w.tables[w.owner].Release(w.clock(w.owner), moved)
	must.True(t, ok)
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
	for _, r := range w.active {
		r.fate.traceable = false
	}
	w.owner = to
	if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		w.lose()
		w.tables[to].Add(moved)
		return
	}
	must.NoError(t, w.tables[to].Receive(w.clock(to), handover))
}

// Guards against a second run of an action, a run after the caller was told that there was none, and needless unknown
// outcomes, whatever sequence of moves, crashes, expiry, resends and lost answers comes.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: epoch, tables: make([]*ticket.Table, 3)}
		for i := range w.tables {
			w.restart(i)
		}
		w.tables[0].Add(moved)
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				issued, err := w.tables[w.owner].Issue(w.clock(w.owner), moved, key)
				must.NoError(t, err)
				w.fates = append(w.fates, &fate{ticket: issued, issued: w.now, traceable: true})
			},
			"spend":  w.spend,
			"resend": w.spend,
			"finish": w.finish,
			"move":   w.move,
			"crash": func(t *rapid.T) {
				w.restart(w.owner)
				w.owner = rapid.IntRange(0, len(w.tables)-1).Draw(t, "to")
				w.tables[w.owner].Add(moved)
				w.lose()
			},
			"pass": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "s")) * time.Second)
			},
			"": func(t *rapid.T) {
				for _, f := range w.fates {
					must.LessEq(t, 1, f.runs)
				}
				held := w.tables[w.owner].State()
				must.LessEq(t, held.Operations, held.Running)
			},
		})
	})
}

// BenchmarkSpend measures the whole life of a ticket: issue, parse, spend, finish.
func BenchmarkSpend(b *testing.B) {
	table := ticket.New(service, 1, ticket.Limits{Operations: 1 << 30, Bytes: 1 << 40}, epoch)
	table.Add(moved)
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(3 * time.Millisecond)
		issued, _ := table.Issue(now, moved, key)
		spent, _ := ticket.Parse(issued.String())
		_, operation := table.Spend(now, spent)
		table.Finish(operation, ran)
	}
}
