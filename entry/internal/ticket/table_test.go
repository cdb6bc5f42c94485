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
	service    = "seat-desk"
	movedShard = shard.Shard(7)
	key        = "trolley/4711"
)

var (
	startTime   = time.Unix(0, 0)
	largeLimits = ticket.Limits{Operations: 1000, Bytes: 64 << 20}
	ranResult   = ticket.Result{Outcome: outcome.Ran, Status: 201, Body: []byte("done")}
)

// newTable returns a table of a lease that starts at startTime, with movedShard added.
func newTable(sequence uint32) *ticket.Table {
	t := ticket.New(service, fence.New(1, sequence), largeLimits, startTime)
	t.Add(movedShard)
	return t
}

// Guards against a corrupted ticket, or one for another service, shard or key, being accepted as valid.
func TestParse(t *testing.T) {
	issued, err := newTable(1).Issue(startTime, movedShard, key)
	must.NoError(t, err)
	text := issued.String()
	parsed, err := ticket.Parse(text)
	must.NoError(t, err)
	must.Eq(t, issued, parsed)
	must.NoError(t, parsed.Validate(service, movedShard, key))
	must.ErrorContains(t, parsed.Validate("log-store", movedShard, key), "service")
	must.ErrorContains(t, parsed.Validate(service, 8, key), "shard")
	must.ErrorContains(t, parsed.Validate(service, movedShard, "other"), "key")
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

// Guards against a planned move that clients notice, because the handover loses stored responses or because the next
// leaseholder refuses tickets that were not redeemed yet.
func TestPlannedMove(t *testing.T) {
	from, to := newTable(1), ticket.New(service, fence.New(1, 2), largeLimits, startTime)
	redeemed, _ := from.Issue(startTime, movedShard, key)
	unredeemed, _ := from.Issue(startTime, movedShard, key)
	running, _ := from.Issue(startTime, movedShard, key)
	verdict, operation := from.Redeem(startTime, redeemed)
	must.Eq(t, ticket.Run, verdict)
	must.True(t, from.Finish(operation, ranResult))
	_, _ = from.Redeem(startTime, running)
	verdict, _ = from.Redeem(startTime, running)
	must.Eq(t, ticket.Join, verdict)
	handover, ok := from.Release(startTime.Add(time.Minute), movedShard)
	must.True(t, ok)
	afterMove := startTime.Add(time.Hour)
	must.NoError(t, to.Receive(afterMove, handover))
	must.Error(t, to.Receive(afterMove, handover))

	verdict, operation = to.Redeem(afterMove, redeemed)
	must.Eq(t, ticket.Stored, verdict)
	must.Eq(t, ranResult, operation.Result())
	verdict, _ = to.Redeem(afterMove.Add(ticket.Lifetime-time.Minute-1), unredeemed)
	must.Eq(t, ticket.Run, verdict)
	for _, expired := range []ticket.Ticket{redeemed, unredeemed} {
		other := ticket.New(service, fence.New(1, 3), largeLimits, startTime)
		must.NoError(t, other.Receive(afterMove, handover))
		verdict, _ = other.Redeem(afterMove.Add(ticket.Lifetime-time.Minute), expired)
		must.Eq(t, ticket.Unknown, verdict)
	}
	verdict, _ = to.Redeem(afterMove, running)
	must.Eq(t, ticket.Unknown, verdict)
	verdict, _ = from.Redeem(afterMove, unredeemed)
	must.Eq(t, ticket.Absent, verdict)
}

// Guards against a full table evicting operations whose tickets are still valid, and against a response body longer
// than 64 KiB being stored in part.
func TestLimits(t *testing.T) {
	table := ticket.New(service, 1, ticket.Limits{Operations: 2, Bytes: 1 << 20}, startTime)
	table.Add(movedShard)
	var verdict ticket.Verdict
	var operations [3]*ticket.Operation
	var tickets [3]ticket.Ticket
	for i := range tickets {
		tickets[i], _ = table.Issue(startTime, movedShard, key)
		verdict, operations[i] = table.Redeem(startTime, tickets[i])
	}
	must.Eq(t, ticket.Full, verdict)
	must.True(t, table.Finish(operations[0], ticket.Result{Outcome: outcome.NotRun}))
	verdict, _ = table.Redeem(startTime, tickets[2])
	must.Eq(t, ticket.Run, verdict)
	must.True(t, table.Finish(operations[1], ticket.Result{Outcome: outcome.Ran, Body: make([]byte, 65<<10)}))
	must.False(t, table.Finish(operations[1], ranResult))
	verdict, stored := table.Redeem(startTime, tickets[1])
	must.Eq(t, ticket.Stored, verdict)
	must.True(t, stored.Result().Truncated)
	table.Expire(startTime.Add(ticket.Lifetime))
	must.Eq(t, 1, table.State().Operations)
	verdict, _ = table.Redeem(startTime.Add(ticket.Lifetime), tickets[1])
	must.Eq(t, ticket.Unknown, verdict)
}

// trackedTicket is what the model knows about a ticket.
type trackedTicket struct {
	ticket     ticket.Ticket
	issued     time.Time
	runs       int
	unfinished bool
	// recordsKept is false once the record of the ticket may be lost. From then on, Unknown is an allowed verdict.
	recordsKept bool
}

// runningOperation is an operation that the backend server has not finished.
type runningOperation struct {
	trackedTicket *trackedTicket
	table         *ticket.Table
	operation     *ticket.Operation
}

// simulation models one shard that moves between leaseholders with different clocks.
type simulation struct {
	now       time.Time
	lastFence uint32
	tables    []*ticket.Table
	owner     int
	tickets   []*trackedTicket
	running   []runningOperation
}

// clock returns the time on the monotonic clock of a leaseholder.
func (s *simulation) clock(i int) time.Time { return s.now.Add(time.Duration(i) * 37 * time.Minute) }

// restartLeaseholder replaces the table of a leaseholder by an empty one with a new fence.
func (s *simulation) restartLeaseholder(i int) {
	s.lastFence++
	s.tables[i] = ticket.New(service, fence.New(1, s.lastFence), ticket.Limits{Operations: 6, Bytes: 1 << 20}, s.clock(i))
}

// markRecordsLost notes that the records of all tickets were lost.
func (s *simulation) markRecordsLost() {
	for _, tracked := range s.tickets {
		tracked.recordsKept = false
	}
}

// redeem presents a ticket to a leaseholder and checks the verdict against the model.
func (s *simulation) redeem(t *rapid.T) {
	if len(s.tickets) == 0 {
		return
	}
	tracked := rapid.SampledFrom(s.tickets).Draw(t, "ticket")
	i := rapid.IntRange(0, len(s.tables)-1).Draw(t, "leaseholder")
	if rapid.Bool().Draw(t, "owner") {
		i = s.owner
	}
	provablyNotRun := tracked.recordsKept && tracked.runs == 0 && !tracked.unfinished && s.now.Sub(tracked.issued) < ticket.Lifetime-time.Millisecond
	verdict, operation := s.tables[i].Redeem(s.clock(i), tracked.ticket)
	switch verdict {
	case ticket.Run:
		must.Zero(t, tracked.runs)
		must.False(t, tracked.unfinished)
		must.Eq(t, s.owner, i)
		tracked.unfinished = true
		s.running = append(s.running, runningOperation{tracked, s.tables[i], operation})
	case ticket.Stored:
		must.Eq(t, 1, tracked.runs)
	case ticket.Full:
		must.Zero(t, tracked.runs)
		must.False(t, tracked.unfinished)
	case ticket.Unknown:
		must.False(t, provablyNotRun)
	case ticket.Absent:
		must.NotEq(t, s.owner, i)
	}
}

// finishOperation ends a running operation: it ran, it ran but its response was lost, or it was refused before it
// started.
func (s *simulation) finishOperation(t *rapid.T) {
	if len(s.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.running)-1).Draw(t, "operation")
	r := s.running[i]
	s.running = append(s.running[:i], s.running[i+1:]...)
	result := ticket.Result{Outcome: outcome.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))}
	if result.Outcome != outcome.NotRun {
		r.trackedTicket.runs++
	}
	must.Eq(t, result.Outcome == outcome.NotRun, r.trackedTicket.runs == 0)
	// After a loss or a move, other tables must not treat the operation as never started.
	r.trackedTicket.recordsKept = r.trackedTicket.recordsKept && r.table == s.tables[s.owner]
	r.trackedTicket.unfinished = false
	must.True(t, r.table.Finish(r.operation, result))
}

// moveShard hands the shard over to another leaseholder, or loses the handover in transit.
func (s *simulation) moveShard(t *rapid.T) {
	to := rapid.IntRange(0, len(s.tables)-1).Draw(t, "to")
	handover, ok := s.tables[s.owner].Release(s.clock(s.owner), movedShard)
	must.True(t, ok)
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
	for _, r := range s.running {
		r.trackedTicket.recordsKept = false
	}
	s.owner = to
	if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		s.markRecordsLost()
		s.tables[to].Add(movedShard)
		return
	}
	must.NoError(t, s.tables[to].Receive(s.clock(to), handover))
}

// Guards against a second run of an action, a run after the client was told that the action was not run, and unknown
// outcomes that could be avoided, for any sequence of moves, crashes, expiries, resends and lost responses.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: startTime, tables: make([]*ticket.Table, 3)}
		for i := range s.tables {
			s.restartLeaseholder(i)
		}
		s.tables[0].Add(movedShard)
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				issued, err := s.tables[s.owner].Issue(s.clock(s.owner), movedShard, key)
				must.NoError(t, err)
				s.tickets = append(s.tickets, &trackedTicket{ticket: issued, issued: s.now, recordsKept: true})
			},
			"redeem": s.redeem,
			"resend": s.redeem,
			"finish": s.finishOperation,
			"move":   s.moveShard,
			"crash": func(t *rapid.T) {
				s.restartLeaseholder(s.owner)
				s.owner = rapid.IntRange(0, len(s.tables)-1).Draw(t, "to")
				s.tables[s.owner].Add(movedShard)
				s.markRecordsLost()
			},
			"passTime": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "s")) * time.Second)
			},
			"": func(t *rapid.T) {
				for _, tracked := range s.tickets {
					must.LessEq(t, 1, tracked.runs)
				}
				state := s.tables[s.owner].State()
				must.LessEq(t, state.Operations, state.Running)
			},
		})
	})
}

// BenchmarkTicketLifecycle measures issuing, parsing, redeeming and finishing a ticket.
func BenchmarkTicketLifecycle(b *testing.B) {
	table := ticket.New(service, 1, ticket.Limits{Operations: 1 << 30, Bytes: 1 << 40}, startTime)
	table.Add(movedShard)
	now := startTime
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(3 * time.Millisecond)
		issued, _ := table.Issue(now, movedShard, key)
		redeemed, _ := ticket.Parse(issued.String())
		_, operation := table.Redeem(now, redeemed)
		table.Finish(operation, ranResult)
	}
}
