package election_test

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/election"
)

// store is the lock object in the platform's store.
type store struct {
	lock     election.Lock
	revision uint64
}

// candidate is a process with its own view of the store.
type candidate struct {
	*election.Election
	member election.Member
	// storeUnreachable means that reads and writes fail; responsesLost means that responses to writes
	// are lost.
	storeUnreachable, responsesLost bool
}

func newCandidate(name string, now time.Time) *candidate {
	m := election.Member{Name: name, Incarnation: now.UnixNano()}
	return &candidate{Election: election.New(m, now, 0), member: m}
}

// performNextAction performs the action that the election asks for.
func (c *candidate) performNextAction(now time.Time, s *store) {
	switch c.NextAction(now) {
	case election.ReadLock:
		switch {
		case c.storeUnreachable:
		case s.revision == 0:
			c.ObserveMissingLock(now)
		default:
			c.ObserveLock(now, s.lock, s.revision)
		}
	case election.WriteLock:
		l, revision := c.ProposeLock(now)
		switch {
		case c.storeUnreachable:
		case revision != s.revision:
			c.HandleConflict(now)
		default:
			s.lock, s.revision = l, s.revision+1
			if !c.responsesLost {
				c.HandleStored(now, l, s.revision)
			}
		}
	}
}

// simulate runs the candidates for some time. holderReachable says whether they receive the
// holder's signs of life.
func simulate(now time.Time, duration time.Duration, s *store, holderReachable bool, candidates ...*candidate) time.Time {
	for end := now.Add(duration); now.Before(end); now = now.Add(50 * time.Millisecond) {
		for _, c := range candidates {
			c.performNextAction(now, s)
			if term, holding := c.HeldTerm(); holding && holderReachable {
				for _, other := range candidates {
					other.RecordHolderAlive(now, term)
					if other != c {
						other.RecordHolderWrite(c.LatestWrite())
					}
				}
			}
		}
	}
	return now
}

func countHolders(candidates ...*candidate) (n int, term uint64) {
	for _, c := range candidates {
		if t, holding := c.HeldTerm(); holding {
			n++
			term = max(term, t)
		}
	}
	return n, term
}

// Guards against two coordinators after a start, and against a change of coordinator without a
// fault.
func TestOneHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &store{}
	a, b, c := newCandidate("a", now), newCandidate("b", now), newCandidate("c", now)
	simulate(now, 10*time.Second, s, true, a, b, c)
	n, term := countHolders(a, b, c)
	must.Eq(t, 1, n)
	must.Eq(t, 1, term)
}

// Guards against keys that lose their owner because no process takes over from a lost coordinator
// before their grants expire.
func TestTakeover(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &store{}
	a, b := newCandidate("a", now), newCandidate("b", now.Add(time.Second))
	now = simulate(now, 3*time.Second, s, true, a, b)
	_, first := a.HeldTerm()
	must.True(t, first)
	holderLost := now
	for {
		b.performNextAction(now, s)
		if _, holding := b.HeldTerm(); holding {
			break
		}
		now = now.Add(50 * time.Millisecond)
		must.Less(t, 2200*time.Millisecond, now.Sub(holderLost))
	}
	must.Eq(t, 2, s.lock.Term)
}

// Guards against a process that takes over because it is cut off from a holder that is alive.
func TestUnreachableHolderKeepsLock(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &store{}
	a, b := newCandidate("a", now), newCandidate("b", now.Add(time.Second))
	now = simulate(now, 3*time.Second, s, true, a, b)
	simulate(now, 10*time.Second, s, false, a, b)
	must.Eq(t, 1, s.lock.Term)
}

// Guards against a takeover by a process that can't read the store and therefore sees no change of
// the lock.
func TestStoreOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &store{}
	a, b := newCandidate("a", now), newCandidate("b", now.Add(time.Second))
	now = simulate(now, 3*time.Second, s, true, a, b)
	a.storeUnreachable, b.storeUnreachable = true, true
	now = simulate(now, 20*time.Second, s, false, a, b)
	a.storeUnreachable, b.storeUnreachable = false, false
	simulate(now, 5*time.Second, s, true, a, b)
	n, term := countHolders(a, b)
	must.Eq(t, 1, n)
	must.Eq(t, 1, term)
}

// Guards against a new term whenever the response to a write of the holder is lost.
func TestLostAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &store{}
	a := newCandidate("a", now)
	now = simulate(now, 2*time.Second, s, true, a)
	a.responsesLost = true
	now = simulate(now, 700*time.Millisecond, s, true, a)
	a.responsesLost = false
	simulate(now, 3*time.Second, s, true, a)
	n, term := countHolders(a)
	must.Eq(t, 1, n)
	must.Eq(t, 1, term)
}

// Guards against a holder that continues after another process has taken its role, and against one
// that relies on its role after its VM was suspended.
func TestFormerHolderLosesRole(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &store{}
	a, b := newCandidate("a", now), newCandidate("b", now.Add(time.Second))
	now = simulate(now, 3*time.Second, s, true, a, b)
	now = simulate(now, 4*time.Second, s, true, b)
	_, taken := b.HeldTerm()
	must.True(t, taken)
	a.InvalidateRole(now)
	must.True(t, a.Confirmed().IsZero())
	simulate(now, time.Second, s, true, a, b)
	n, term := countHolders(a, b)
	must.Eq(t, 1, n)
	must.Eq(t, 2, term)
}

// Guards against a lock that grows without bound, and against past holders that are left out of it for that reason.
func TestManyPastHolders(t *testing.T) {
	now := time.Unix(1000, 0)
	var l election.Lock
	for i := range 40 {
		l.PastHolders = append(l.PastHolders, election.PastHolder{
			Member: election.Member{Name: fmt.Sprint("n", i)}, Confirmed: now.Add(-time.Duration(i*7%40) * 100 * time.Millisecond),
		})
	}
	a := newCandidate("a", now)
	a.ObserveLock(now, l, 1)
	proposed, _ := a.ProposeLock(now)
	must.Eq(t, 16, len(proposed.PastHolders))
	for _, p := range l.PastHolders {
		must.True(t, slices.ContainsFunc(proposed.PastHolders, func(kept election.PastHolder) bool {
			return kept == p || kept.Name == "" && !kept.Confirmed.Before(p.Confirmed)
		}), must.Sprint(p, " is covered"))
	}
}

// Guards against two coordinators because a process that was suspended while it wrote the lock takes the role again by
// the late response, after it has told its successor that it has stopped.
func TestLateResponseAfterStepDown(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &store{}
	a, b := newCandidate("a", now), newCandidate("b", now.Add(time.Second))
	now = simulate(now, 3*time.Second, s, true, a, b)
	heartbeat, _ := a.ProposeLock(now)
	s.lock, s.revision = heartbeat, s.revision+1
	written := s.revision
	later := simulate(now, 4*time.Second, s, true, b)
	term, holding := b.HeldTerm()
	must.True(t, holding)
	must.True(t, a.StepDown(later, term))
	a.HandleStored(now, heartbeat, written)
	_, holding = a.HeldTerm()
	must.False(t, holding)
	must.Eq(t, election.ReadLock, a.NextAction(later))
}

// Guards against two processes that act as the only holder: others count the time without a change of
// the lock from its latest write, which a later read does not renew.
func TestReadDoesNotConfirmRole(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &store{}
	a := newCandidate("a", now)
	now = simulate(now, time.Second, s, true, a)
	confirmed := a.Confirmed()
	now = now.Add(time.Second)
	a.HandleConflict(now)
	a.ObserveLock(now, s.lock, s.revision+1)
	_, holding := a.HeldTerm()
	must.True(t, holding)
	must.Eq(t, confirmed, a.Confirmed())
}

// Guards against a gap of seconds when the holder resigns or its process restarts.
func TestQuickSuccession(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &store{}
	a, b := newCandidate("a", now), newCandidate("b", now.Add(time.Second))
	now = simulate(now, 3*time.Second, s, true, a, b)
	l, revision, ok := a.Resign()
	must.True(t, ok)
	must.Eq(t, s.revision, revision)
	a.FinishResign(false)
	_, holding := a.HeldTerm()
	must.True(t, holding)
	s.lock, s.revision = l, s.revision+1
	a.FinishResign(true)
	_, holding = a.HeldTerm()
	must.False(t, holding)
	now = simulate(now, 1100*time.Millisecond, s, true, b)
	_, holding = b.HeldTerm()
	must.True(t, holding)
	restarted := newCandidate("b", now)
	now = simulate(now, 200*time.Millisecond, s, true, restarted)
	term, holding := restarted.HeldTerm()
	must.True(t, holding)
	must.Eq(t, 3, term)
	must.True(t, b.StepDown(now, 3))
	must.False(t, restarted.StepDown(now, 3))
}

// Guards against a lock that can't be decoded after it was encoded, and against a past holder that counts as stopped
// too early because the lock was read long after it was written.
func TestCodec(t *testing.T) {
	written, read := time.Unix(1000, 0), time.Unix(7, 0)
	holder := election.Member{Name: "a", Incarnation: 5, DataCentre: "x", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	for _, l := range []election.Lock{
		{Term: 7, Heartbeat: 9, Era: 2, Holder: election.Member{Name: "a", Incarnation: 5, DataCentre: "x"}},
		{Term: 7, Former: holder},
		{Term: 7, Holder: holder, PastHolders: []election.PastHolder{
			{Member: election.Member{Name: "b", Incarnation: 6}, Confirmed: written.Add(-1500 * time.Millisecond)}, {Confirmed: written},
		}},
	} {
		data, err := election.Encode(written, l)
		must.NoError(t, err)
		back, err := election.Decode(read, data)
		must.NoError(t, err)
		for i := range l.PastHolders {
			l.PastHolders[i].Confirmed = l.PastHolders[i].Confirmed.Add(read.Sub(written))
		}
		must.Eq(t, l, back)
	}
	for _, bad := range []string{`{"addr":"nowhere"}`, `{"former":{"addr":"nowhere"}}`, `{"past":[{"addr":"nowhere"}]}`, `{"past":1}`, `{`} {
		l, err := election.Decode(read, []byte(bad))
		must.Error(t, err)
		must.Eq(t, []election.PastHolder{{Confirmed: read}}, l.PastHolders)
	}
	l, err := election.Decode(read, []byte(`{"past":[{"age":9000000000000000000},{"age":-9000000000000000000}]}`))
	must.NoError(t, err)
	must.Eq(t, []election.PastHolder{{Confirmed: read.Add(-time.Hour)}, {Confirmed: read}}, l.PastHolders)
}

// Guards against a past holder that is forgotten while processes of an earlier build, whose locks have no past
// holders, run beside this one.
func TestEarlierBuild(t *testing.T) {
	read := time.Unix(7, 0)
	l, err := election.Decode(read, []byte(`{"term":3,"name":"a","life":5,"beat":2}`))
	must.NoError(t, err)
	must.Eq(t, []election.PastHolder{{Confirmed: read}}, l.PastHolders)
	// An earlier build takes the answer of a process for that of the holder if its incarnation is at least this.
	var earlier struct {
		Life   int64
		Former struct{ Life int64 }
	}
	for _, l := range []election.Lock{{Holder: election.Member{Name: "a", Incarnation: 5}}, {Former: election.Member{Name: "a", Incarnation: 5}}} {
		data, err := election.Encode(read, l)
		must.NoError(t, err)
		earlier.Life, earlier.Former.Life = 0, 0
		must.NoError(t, json.Unmarshal(data, &earlier))
		must.Eq(t, 5, earlier.Life+earlier.Former.Life)
		l.PastHolders = []election.PastHolder{{Member: election.Member{Name: "b", Incarnation: 6}}}
		data, err = election.Encode(read, l)
		must.NoError(t, err)
		must.NoError(t, json.Unmarshal(data, &earlier))
		must.Eq(t, math.MaxInt64, max(earlier.Life, earlier.Former.Life))
	}
}

// Guards against a holder that the store rejects and that keeps the role for seconds, in which nothing may be
// moved, and against one that is replaced because the answer to a write was lost.
func TestRejectedHolderIsReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		rejected, answerLost bool
		replaced             bool
	}{
		"rejected by the store": {rejected: true, replaced: true},
		"one answer lost":       {answerLost: true},
		"neither":               {},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := &store{}
			a, b := newCandidate("a", now), newCandidate("b", now.Add(time.Second))
			now = simulate(now, 3*time.Second, s, true, a, b)
			last := a.LatestWrite()
			a.storeUnreachable, a.responsesLost = c.rejected, c.answerLost
			for end := now.Add(5 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
				if s.lock.Heartbeat > last.Heartbeat+1 {
					a.responsesLost = false
				}
				a.performNextAction(now, s)
				if term, holding := a.HeldTerm(); holding {
					b.RecordHolderWrite(a.LatestWrite())
					if now.Sub(a.Confirmed()) < 1500*time.Millisecond {
						b.RecordHolderAlive(now, term)
					}
				}
				b.performNextAction(now, s)
				if _, holding := b.HeldTerm(); holding {
					break
				}
			}
			_, holding := b.HeldTerm()
			must.Eq(t, c.replaced, holding)
			if c.replaced {
				must.Between(t, 1200*time.Millisecond, now.Sub(last.SentAt), 1700*time.Millisecond)
			}
		})
	}
}

// Guards against a small VM that becomes the coordinator although a larger one is there, and
// against a lock that nobody takes because only small VMs are left.
func TestTakeoverDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &store{}
	small, large := newCandidate("small", now), newCandidate("large", now)
	small.SetTakeoverDelay(300 * time.Millisecond)
	now = simulate(now, 3*time.Second, s, true, small, large)
	_, holding := large.HeldTerm()
	must.True(t, holding)
	simulate(now, 3*time.Second, s, true, small)
	_, holding = small.HeldTerm()
	must.True(t, holding)
	must.Eq(t, 2, s.lock.Term)
}

// Guards against a process that never takes the role again after it has given it up because it was cut
// off, and against one that takes it before others can.
func TestHandOver(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &store{}
	a, b := newCandidate("a", now), newCandidate("b", now.Add(time.Second))
	now = simulate(now, 3*time.Second, s, true, a, b)
	handOver := func(c *candidate) {
		l, revision, ok := c.Resign()
		must.True(t, ok)
		must.Eq(t, s.revision, revision)
		s.lock, s.revision = l, s.revision+1
		c.RemainCandidate(now, l, s.revision)
		_, holding := c.HeldTerm()
		must.False(t, holding)
	}
	a.SetTakeoverDelay(2 * time.Second)
	handOver(a)
	// The other process has heard the holder just before.
	b.RecordHolderAlive(now, 1)
	b.DoubtHolder()
	now = simulate(now, 200*time.Millisecond, s, true, a, b)
	_, holding := b.HeldTerm()
	must.True(t, holding, must.Sprint("the other process takes the role at once"))
	now = simulate(now, 5*time.Second, s, true, a, b)
	must.Eq(t, 2, s.lock.Term)
	handOver(b)
	simulate(now, 3*time.Second, s, true, a)
	term, holding := a.HeldTerm()
	must.True(t, holding)
	must.Eq(t, 3, term)
}
