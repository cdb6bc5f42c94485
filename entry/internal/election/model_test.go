package election_test

import (
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bramleystand.org/common/revision"
	"bramleystand.org/common/seed"
	"bramleystand.org/entry/internal/election"
)

func TestMain(m *testing.M) {
	os.Exit(seed.RunTests(m, "3000"))
}

// exclusiveRoleTime is how long after its latest write of the lock the holder acts as the only one.
const exclusiveRoleTime = 800 * time.Millisecond

// maxOfflineRenewal is how long a holder acts on its role without the store.
const maxOfflineRenewal = 12 * time.Second

// lockCopy is the encoded lock in the store or in a copy of the store; the lock is missing while number is 0.
type lockCopy struct {
	at     time.Time
	lock   []byte
	number uint64
}

// restorableStore is a store that may come back from an earlier copy.
type restorableStore struct {
	lockCopy
	era        uint64
	lastNumber uint64
	copies     []lockCopy
	late       []lateWrite
	down       bool
	// otherWrites returns by how much the revision rises between two writes of the lock, because other
	// objects change.
	otherWrites func() uint64
}

// lateWrite is a write without a response that is executed later if its condition still holds.
type lateWrite struct {
	due       time.Time
	lock      []byte
	condition uint64
}

func newRestorableStore(now time.Time, otherWrites func() uint64) *restorableStore {
	return &restorableStore{era: 1, copies: []lockCopy{{at: now}}, otherWrites: otherWrites}
}

func (s *restorableStore) put(now time.Time, l []byte, condition uint64) bool {
	if condition != s.number {
		return false
	}
	s.lastNumber += s.otherWrites()
	s.lockCopy = lockCopy{at: now, lock: l, number: s.lastNumber}
	s.copies = append(s.copies, s.lockCopy)
	return true
}

func (s *restorableStore) executeLate(now time.Time) {
	var rest []lateWrite
	for _, w := range s.late {
		if now.Before(w.due) {
			rest = append(rest, w)
			continue
		}
		s.put(now, w.lock, w.condition)
	}
	s.late = rest
}

// restore replaces the lock by that of the latest copy from before the given time.
func (s *restorableStore) restore(before time.Time) {
	s.era++
	for len(s.copies) > 1 && s.copies[len(s.copies)-1].at.After(before) {
		s.copies = s.copies[:len(s.copies)-1]
	}
	s.lockCopy = s.copies[len(s.copies)-1]
	s.lastNumber = max(s.number, 1)
}

// electionModel is a system of processes that elect the holder of the lock.
type electionModel struct {
	t interface {
		Fatalf(format string, args ...any)
	}
	now        time.Time
	store      *restorableStore
	candidates []*modelCandidate
	// takenBy holds the process that had each term, and highest is the highest of these terms. takenIn holds the
	// store's era of each term.
	takenBy map[uint64]election.Member
	takenIn map[uint64]uint64
	highest uint64
	takes   int
	// delay returns by how much the next write is delayed; its response is lost then.
	delay func() time.Duration
}

// modelCandidate is a process that knows the store's era from the responses that it gets.
type modelCandidate struct {
	*election.Election
	member         election.Member
	era            uint64
	cutOff, silent bool
}

// encode returns a lock as a process writes it.
func (m *electionModel) encode(l election.Lock) []byte {
	data, err := election.Encode(m.now, l)
	if err != nil {
		m.t.Fatalf("%v", err)
	}
	return data
}

// decode returns the lock in the store as a process reads it.
func (m *electionModel) decode() election.Lock {
	l, err := election.Decode(m.now, m.store.lock)
	if err != nil {
		m.t.Fatalf("%v", err)
	}
	return l
}

func (m *electionModel) step(c *modelCandidate) {
	action := c.NextAction(m.now)
	unreachable := m.store.down || c.cutOff
	if action == election.NoAction || unreachable && action == election.ReadLock {
		return
	}
	s := m.store
	if action == election.ReadLock {
		c.era = s.era
		if s.number == 0 {
			c.ObserveMissingLock(m.now)
			return
		}
		c.ObserveLock(m.now, m.decode(), uint64(revision.New(s.era, s.number)))
		return
	}
	l, r := c.ProposeLock(m.now)
	condition := revision.Revision(r)
	switch {
	case condition != 0 && condition.Era() < c.era:
		c.HandleConflict(m.now)
	case unreachable:
	case m.delayWrite(l, condition.Number()):
	case !s.put(m.now, m.encode(l), condition.Number()):
		c.era = s.era
		c.HandleConflict(m.now)
	default:
		c.era = s.era
		c.HandleStored(m.now, l, uint64(revision.New(s.era, s.number)))
	}
}

// handOver makes a process give up the role and remain a candidate. The response may be lost.
func (m *electionModel) handOver(c *modelCandidate) {
	l, r, ok := c.Resign()
	if !ok {
		// Only a process that stops keeps this state.
		c.FinishResign(false)
		return
	}
	condition := revision.Revision(r)
	unreachable := m.store.down || c.cutOff || condition.Era() < c.era
	if unreachable || m.delayWrite(l, condition.Number()) || !m.store.put(m.now, m.encode(l), condition.Number()) {
		c.FinishResign(false)
		c.HandleConflict(m.now)
		return
	}
	c.era = m.store.era
	c.RemainCandidate(m.now, l, uint64(revision.New(m.store.era, m.store.number)))
}

// delayWrite reports whether a write is delayed.
func (m *electionModel) delayWrite(l election.Lock, condition uint64) bool {
	d := m.delay()
	if d >= 0 {
		m.store.late = append(m.store.late, lateWrite{due: m.now.Add(d), lock: m.encode(l), condition: condition})
	}
	return d >= 0
}

// check fails if a term was taken twice or is not the highest one, or if two processes act as the
// only holder.
func (m *electionModel) check() {
	m.checkTerms()
	exclusive := 0
	for _, c := range m.candidates {
		if _, holding := c.HeldTerm(); holding && m.now.Sub(c.Confirmed()) < exclusiveRoleTime {
			exclusive++
		}
	}
	if exclusive > 1 {
		m.t.Fatalf("%d processes act as the only holder", exclusive)
	}
}

// checkTerms fails if a term was taken twice or is not the highest one.
func (m *electionModel) checkTerms() {
	for _, c := range m.candidates {
		term, holding := c.HeldTerm()
		if !holding {
			continue
		}
		if by, ok := m.takenBy[term]; !ok {
			if term <= m.highest {
				m.t.Fatalf("%s takes term %d after term %d", c.member.Name, term, m.highest)
			}
			m.takenBy[term], m.takenIn[term], m.highest = c.member, m.store.era, term
			m.takes++
		} else if by != c.member {
			m.t.Fatalf("%s takes term %d, which %s had", c.member.Name, term, by.Name)
		}
	}
}

// newElectionModel returns a system of processes with these names.
func newElectionModel(t *rapid.T, names ...string) *electionModel {
	start := time.Unix(1000, 0)
	store := newRestorableStore(start, func() uint64 { return rapid.Uint64Range(1, 1<<20).Draw(t, "other writes") })
	m := &electionModel{t: t, now: start, store: store, takenBy: make(map[uint64]election.Member), takenIn: make(map[uint64]uint64), delay: func() time.Duration {
		if rapid.IntRange(0, 9).Draw(t, "late") > 0 {
			return -1
		}
		return time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay")) * time.Millisecond
	}}
	for _, name := range names {
		member := election.Member{Name: name, Incarnation: 1}
		jitter := time.Duration(rapid.IntRange(0, 200).Draw(t, "jitter")) * time.Millisecond
		m.candidates = append(m.candidates, &modelCandidate{Election: election.New(member, start, jitter), member: member})
	}
	return m
}

// disturb makes a random event happen, mostly none, to one of the processes.
func (m *electionModel) disturb(t *rapid.T) {
	c := m.candidates[rapid.IntRange(0, len(m.candidates)-1).Draw(t, "process")]
	switch rapid.IntRange(0, 40).Draw(t, "event") {
	case 0:
		c.cutOff = !c.cutOff
	case 1:
		c.silent = !c.silent
	case 2:
		m.store.down = !m.store.down
	case 3:
		m.store.restore(m.now.Add(-time.Duration(rapid.IntRange(0, 9000).Draw(t, "age")) * time.Millisecond))
	case 5:
		m.handOver(c)
	case 4:
		c.member.Incarnation++
		c.Election, c.era = election.New(c.member, m.now, 100*time.Millisecond), 0
	}
}

// Guards against a term that repeats or falls, and against two processes that act as the only holder,
// after the store was restored from an earlier copy.
func TestExclusiveHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newElectionModel(t, "a", "b", "c")
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			m.now = m.now.Add(50 * time.Millisecond)
			m.disturb(t)
			m.store.executeLate(m.now)
			for _, c := range m.candidates {
				m.step(c)
				m.check()
			}
			m.reportAlive()
		}
	})
}

// Guards against a holder that does not know of an earlier one that still acts on its role, after changes of the
// holder in a row, lost responses, processes that start again, and processes that answer that they have stopped.
func TestPastHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newElectionModel(t, "a", "b", "c", "d")
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			m.now = m.now.Add(50 * time.Millisecond)
			m.disturb(t)
			m.store.executeLate(m.now)
			for _, c := range m.candidates {
				c.RemoveExpired(m.now.Add(-maxOfflineRenewal))
				if past := c.PastHolders(); len(past) > 0 {
					switch rapid.IntRange(0, 19).Draw(t, "event at a successor") {
					case 0, 1:
						m.requestStepDown(c, rapid.SampledFrom(past).Draw(t, "past holder").Member)
					case 2:
						m.handOver(c)
					}
				}
				m.step(c)
				m.checkPastHolders()
			}
			m.reportAlive()
		}
	})
}

// requestStepDown makes the holder ask a past holder to stop.
func (m *electionModel) requestStepDown(holder *modelCandidate, asked election.Member) {
	term, _ := holder.HeldTerm()
	for _, c := range m.candidates {
		if c.member.Name == asked.Name && c.StepDown(m.now, term) && c.member.Incarnation >= asked.Incarnation {
			holder.RemovePastHolder(asked)
		}
	}
}

// checkPastHolders fails if a holder does not know of a process that still acts on an earlier term. Those of earlier
// eras of the store are known by their era.
func (m *electionModel) checkPastHolders() {
	m.check()
	for _, holder := range m.candidates {
		term, holding := holder.HeldTerm()
		if !holding {
			continue
		}
		for _, c := range m.candidates {
			earlier, acting := c.HeldTerm()
			confirmed := c.LatestWrite().SentAt
			if c == holder || !acting || earlier > term || m.takenIn[earlier] < m.takenIn[term] || m.now.Sub(confirmed) > maxOfflineRenewal {
				continue
			}
			if !slices.ContainsFunc(holder.PastHolders(), func(p election.PastHolder) bool {
				return p.Member == c.member && !p.Confirmed.Before(confirmed)
			}) {
				m.t.Fatalf("%s has term %d and does not know that %s acts on term %d, confirmed %s ago: %v", holder.member.Name, term, c.member.Name, earlier, m.now.Sub(confirmed), holder.PastHolders())
			}
		}
	}
}

// reportAlive passes the signs of life of the holders to the processes that hear them.
func (m *electionModel) reportAlive() {
	for _, c := range m.candidates {
		term, holding := c.HeldTerm()
		if holding && !c.silent {
			for _, other := range m.candidates {
				if other != c && !other.silent {
					other.RecordHolderWrite(c.LatestWrite())
				}
			}
		}
		if !holding || c.silent || m.now.Sub(c.Confirmed()) > 1500*time.Millisecond {
			continue
		}
		for _, other := range m.candidates {
			if other != c && !other.silent {
				other.RecordHolderAlive(m.now, term)
			}
		}
	}
}

// Guards against a term that repeats, a change of the holder and a gap in the role for longer than
// grants last after the store was restored.
func TestHolderAfterRestore(t *testing.T) {
	for _, age := range []time.Duration{0, 300 * time.Millisecond, 4 * time.Second, 9 * time.Second, time.Minute} {
		now := time.Unix(1000, 0)
		store := newRestorableStore(now, func() uint64 { return 1 })
		m := &electionModel{t: t, now: now, store: store, takenBy: make(map[uint64]election.Member), takenIn: make(map[uint64]uint64), delay: func() time.Duration { return -1 }}
		for _, name := range []string{"a", "b"} {
			member := election.Member{Name: name, Incarnation: 1}
			m.candidates = append(m.candidates, &modelCandidate{Election: election.New(member, now, 0), member: member})
		}
		run := func(d time.Duration) {
			for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(50 * time.Millisecond) {
				for _, c := range m.candidates {
					m.step(c)
					m.check()
				}
				m.reportAlive()
			}
		}
		run(10 * time.Second)
		must.Eq(t, 1, m.highest)
		store.down = true
		run(2 * time.Second)
		store.down = false
		store.restore(m.now.Add(-2*time.Second - age))
		run(2 * time.Second)
		must.Eq(t, 2, m.takes, must.Sprint("terms taken, age ", age))
		term, holding := m.candidates[0].HeldTerm()
		must.True(t, holding, must.Sprint("the holder has its role, age ", age))
		must.Eq(t, m.highest, term)
		must.Less(t, exclusiveRoleTime, m.now.Sub(m.candidates[0].Confirmed()))
	}
}

// Guards against a resigned lock that counts as restored, so that the successor waits and its term
// rises as after a restore.
func TestResignAfterRestore(t *testing.T) {
	now := time.Unix(1000, 0)
	store := newRestorableStore(now, func() uint64 { return 1 })
	store.restore(now)
	m := &electionModel{t: t, now: now, store: store, takenBy: make(map[uint64]election.Member), takenIn: make(map[uint64]uint64), delay: func() time.Duration { return -1 }}
	for _, name := range []string{"a", "b"} {
		member := election.Member{Name: name, Incarnation: 1}
		m.candidates = append(m.candidates, &modelCandidate{Election: election.New(member, now, 0), member: member})
	}
	run := func(d time.Duration) {
		for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(50 * time.Millisecond) {
			for _, c := range m.candidates {
				m.step(c)
				m.check()
			}
			m.reportAlive()
		}
	}
	run(10 * time.Second)
	before, holding := m.candidates[0].HeldTerm()
	must.True(t, holding)
	l, r, ok := m.candidates[0].Resign()
	must.True(t, ok)
	must.True(t, store.put(m.now, m.encode(l), revision.Revision(r).Number()))
	m.candidates[0].FinishResign(true)
	run(1100 * time.Millisecond)
	term, holding := m.candidates[1].HeldTerm()
	must.True(t, holding, must.Sprint("the other process has the role after 1.1 s"))
	must.Eq(t, before+1, term)
}
