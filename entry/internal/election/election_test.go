package election_test

import (
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
	// cut means that the store can't be reached; deaf that answers to writes are lost.
	cut, deaf bool
}

func newCandidate(name string, now time.Time) *candidate {
	m := election.Member{Name: name, Incarnation: now.UnixNano()}
	return &candidate{Election: election.New(m, now, 0), member: m}
}

// act does what the election asks for.
func (c *candidate) act(now time.Time, s *store) {
	switch c.Next(now) {
	case election.Read:
		switch {
		case c.cut:
		case s.revision == 0:
			c.Missing(now)
		default:
			c.Observe(now, s.lock, s.revision)
		}
	case election.Write:
		l, revision := c.Proposal(now)
		switch {
		case c.cut:
		case revision != s.revision:
			c.Conflict(now)
		default:
			s.lock, s.revision = l, s.revision+1
			if !c.deaf {
				c.Stored(now, l, s.revision)
			}
		}
	}
}

// play lets the candidates act for some time; heard tells who hears the holder.
func play(now time.Time, length time.Duration, s *store, heard bool, all ...*candidate) time.Time {
	for end := now.Add(length); now.Before(end); now = now.Add(50 * time.Millisecond) {
		for _, c := range all {
			c.act(now, s)
			if term, holding := c.Holding(); holding && heard {
				for _, other := range all {
					other.Hear(now, term)
				}
			}
		}
	}
	return now
}

func holders(all ...*candidate) (n int, term uint64) {
	for _, c := range all {
		if t, holding := c.Holding(); holding {
			n++
			term = max(term, t)
		}
	}
	return n, term
}

// Guards against two coordinators after a start, and against a change while all is well.
func TestOneHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &store{}
	a, b, c := newCandidate("a", now), newCandidate("b", now), newCandidate("c", now)
	play(now, 10*time.Second, s, true, a, b, c)
	n, term := holders(a, b, c)
	must.Eq(t, 1, n)
	must.Eq(t, 1, term)
}

// Guards against keys that stay without a coordinator for longer than their hold after it was lost.
func TestTakeover(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &store{}
	a, b := newCandidate("a", now), newCandidate("b", now.Add(time.Second))
	now = play(now, 3*time.Second, s, true, a, b)
	_, first := a.Holding()
	must.True(t, first)
	lost := now
	for {
		b.act(now, s)
		if _, holding := b.Holding(); holding {
			break
		}
		now = now.Add(50 * time.Millisecond)
		must.Less(t, 2200*time.Millisecond, now.Sub(lost))
	}
	must.Eq(t, 2, s.lock.Term)
}

// Guards against a process that takes over because it is cut off from a holder that is alive.
func TestHolderUnheard(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &store{}
	a, b := newCandidate("a", now), newCandidate("b", now.Add(time.Second))
	now = play(now, 3*time.Second, s, true, a, b)
	play(now, 10*time.Second, s, false, a, b)
	must.Eq(t, 1, s.lock.Term)
}

// Guards against a takeover by a process that can't read the store and takes the lock for stale.
func TestStoreOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &store{}
	a, b := newCandidate("a", now), newCandidate("b", now.Add(time.Second))
	now = play(now, 3*time.Second, s, true, a, b)
	a.cut, b.cut = true, true
	now = play(now, 20*time.Second, s, false, a, b)
	a.cut, b.cut = false, false
	play(now, 5*time.Second, s, true, a, b)
	n, term := holders(a, b)
	must.Eq(t, 1, n)
	must.Eq(t, 1, term)
}

// Guards against a new term whenever the answer to a write of the holder is lost.
func TestLostAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &store{}
	a := newCandidate("a", now)
	now = play(now, 2*time.Second, s, true, a)
	a.deaf = true
	now = play(now, 700*time.Millisecond, s, true, a)
	a.deaf = false
	play(now, 3*time.Second, s, true, a)
	n, term := holders(a)
	must.Eq(t, 1, n)
	must.Eq(t, 1, term)
}

// Guards against a holder that goes on after another has taken its role, and against one that
// trusts its role after its VM was suspended.
func TestDeposed(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &store{}
	a, b := newCandidate("a", now), newCandidate("b", now.Add(time.Second))
	now = play(now, 3*time.Second, s, true, a, b)
	now = play(now, 4*time.Second, s, true, b)
	_, taken := b.Holding()
	must.True(t, taken)
	a.Invalidate(now)
	must.True(t, a.Confirmed().IsZero())
	play(now, time.Second, s, true, a, b)
	n, term := holders(a, b)
	must.Eq(t, 1, n)
	must.Eq(t, 2, term)
}

// Guards against a gap of seconds when the holder stops on purpose or its process starts again.
func TestQuickSuccession(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &store{}
	a, b := newCandidate("a", now), newCandidate("b", now.Add(time.Second))
	now = play(now, 3*time.Second, s, true, a, b)
	l, revision, ok := a.Resign()
	must.True(t, ok)
	must.Eq(t, s.revision, revision)
	a.Resigned(false)
	_, holding := a.Holding()
	must.True(t, holding)
	s.lock, s.revision = l, s.revision+1
	a.Resigned(true)
	_, holding = a.Holding()
	must.False(t, holding)
	now = play(now, 1100*time.Millisecond, s, true, b)
	_, holding = b.Holding()
	must.True(t, holding)
	again := newCandidate("b", now)
	now = play(now, 200*time.Millisecond, s, true, again)
	term, holding := again.Holding()
	must.True(t, holding)
	must.Eq(t, 3, term)
	must.True(t, b.Yield(now, 3))
	must.False(t, again.Yield(now, 3))
}

// Guards against a lock that another version of the program can't read back.
func TestCodec(t *testing.T) {
	l := election.Lock{Term: 7, Beat: 9, Holder: election.Member{Name: "a", Incarnation: 5, DataCentre: "x"}}
	data, err := election.Encode(l)
	must.NoError(t, err)
	back, err := election.Decode(data)
	must.NoError(t, err)
	must.Eq(t, l, back)
	_, err = election.Decode([]byte(`{"addr":"nowhere"}`))
	must.Error(t, err)
}

// Guards against a small VM that becomes the coordinator although a larger one is there, and
// against a lock that nobody takes because only small VMs are left.
func TestTakeoverDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &store{}
	small, large := newCandidate("small", now), newCandidate("large", now)
	small.SetTakeoverDelay(300 * time.Millisecond)
	now = play(now, 3*time.Second, s, true, small, large)
	_, holding := large.Holding()
	must.True(t, holding)
	play(now, 3*time.Second, s, true, small)
	_, holding = small.Holding()
	must.True(t, holding)
	must.Eq(t, 2, s.lock.Term)
}
