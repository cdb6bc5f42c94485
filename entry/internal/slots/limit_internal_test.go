package slots

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/coldstart"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/requestlimit"
	"bramleystand.org/entry/internal/view"
)

var limitedServer = registry.Instance{ID: "limited", Incarnation: 1}

// limitTest drives allocators without a clock.
type limitTest struct {
	now    time.Time
	number uint64
	last   reply
	from   *requester
}

func newLimitTest() *limitTest {
	l := &limitTest{now: time.Unix(1000, 0)}
	l.from = &requester{reply: func(r reply) { l.last = r }}
	return l
}

// acquire requests a slot for a request that can't wait and returns whether it was given. The slot is
// returned at once.
func (l *limitTest) acquire(a *Allocator, share float64, known requestlimit.Limit) bool {
	l.number++
	m := message{
		action: acquire, number: l.number, instance: limitedServer, slots: 4, arrived: l.now,
		objective: l.now.Add(time.Millisecond), deadline: l.now.Add(2 * time.Millisecond), share: share, limit: known,
	}
	a.handle(l.now, l.from, m)
	started := l.last.started
	m.action = release
	a.handle(l.now, l.from, m)
	return started
}

// count requests 50 slots a second for some time and returns how many were given.
func (l *limitTest) count(a *Allocator, duration time.Duration, share float64, known requestlimit.Limit) int {
	n := 0
	for end := l.now.Add(duration); l.now.Before(end); l.now = l.now.Add(20 * time.Millisecond) {
		if l.acquire(a, share, known) {
			n++
		}
	}
	return n
}

func newLimitAllocator() *Allocator { return newTestAllocator(requestlimit.NewTable(logger)) }

// Guards against an allocator that gives out more than a limit that only a returned slot has told it.
func TestReturnedSlotLimitsRequests(t *testing.T) {
	l, a := newLimitTest(), newLimitAllocator()
	must.Eq(t, 50, l.count(a, time.Second, 1, requestlimit.Limit{}))
	m := message{action: acquire, number: 9999, instance: limitedServer, slots: 4, arrived: l.now, objective: l.now.Add(time.Second), deadline: l.now.Add(time.Second), share: 1}
	a.handle(l.now, l.from, m)
	m.action, m.limit = release, requestlimit.Limit{PerSecond: 3, InForce: true, HeardAt: l.now}
	a.handle(l.now, l.from, m)
	must.Between(t, 11, l.count(a, 4*time.Second, 1, requestlimit.Limit{}), 12)
	must.Eq(t, 3, l.last.limit.PerSecond)
	must.MapContainsKey(t, a.OverLimit(), limitedServer)
}

// Guards against a new allocator that starts with a burst, knows nothing of a limit that the first process
// carries, or forgets it for the others.
func TestNextAllocatorKeepsLimit(t *testing.T) {
	l, a := newLimitTest(), newLimitAllocator()
	known := requestlimit.Limit{PerSecond: 3, InForce: true, HeardAt: l.now.Add(-time.Second)}
	must.False(t, l.acquire(a, 1, known))
	must.Between(t, 11, l.count(a, 4*time.Second, 1, requestlimit.Limit{}), 12)
}

// Guards against two allocators that give out the limit twice while one replaces the other, and against a
// replacement that never gives out the whole limit.
func TestSubstituteGivesPartOfLimit(t *testing.T) {
	l, a := newLimitTest(), newLimitAllocator()
	known := requestlimit.Limit{PerSecond: 4, InForce: true, HeardAt: l.now}
	must.Between(t, 7, l.count(a, 4*time.Second, substituteShare, known), 8)
	must.Between(t, 15, l.count(a, 4*time.Second, 1, known), 16)
}

// Guards against a limit that stays in force because a process still carries an older statement.
func TestLimitEnds(t *testing.T) {
	l, a := newLimitTest(), newLimitAllocator()
	known := requestlimit.Limit{PerSecond: 1, InForce: true, HeardAt: l.now}
	must.LessEq(t, 2, l.count(a, time.Second, 1, known))
	ended := requestlimit.Limit{HeardAt: l.now}
	must.Between(t, 49, l.count(a, time.Second, 1, ended), 50)
	must.Eq(t, 50, l.count(a, time.Second, 1, known))
	must.False(t, l.last.limit.InForce)
}

// Guards against times that are changed by the clocks of two VMs.
func TestLimitKeepsAgeOnWire(t *testing.T) {
	sent, received := time.Unix(1000, 0), time.Unix(5000, 0)
	limit := requestlimit.Limit{PerSecond: 2.5, InForce: true, HeardAt: sent.Add(-3 * time.Second)}
	m := decodeMessage(received, encodeMessage(sent, message{limit: limit, share: 0.5}))
	must.Eq(t, requestlimit.Limit{PerSecond: 2.5, InForce: true, HeardAt: received.Add(-3 * time.Second)}, m.limit)
	must.Eq(t, 0.5, m.share)
	r := decodeReply(received, encodeReply(sent, reply{limit: limit, overLimit: true}))
	must.Eq(t, m.limit, r.limit)
	must.True(t, r.overLimit)
	must.Eq(t, requestlimit.Limit{}, decodeLimit(received, encodeLimit(sent, requestlimit.Limit{})))
}

// Guards against a message with impossible numbers that stops an allocator or lifts a limit.
func TestInvalidLimitOnWire(t *testing.T) {
	for _, number := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5} {
		l, a := newLimitTest(), newLimitAllocator()
		must.False(t, l.acquire(a, number, requestlimit.Limit{PerSecond: 2, InForce: true, HeardAt: l.now}))
		l.now = l.now.Add(time.Second)
		m := message{action: acquire, number: 7000, instance: limitedServer, limit: requestlimit.Limit{PerSecond: number, InForce: true, HeardAt: l.now}}
		a.handle(l.now, l.from, decodeMessage(l.now, encodeMessage(l.now, m)))
		l.now = l.now.Add(2 * exclusionTime)
		must.LessEq(t, 1, l.count(a, 4*time.Second, number, requestlimit.Limit{}))
		must.Between(t, 7, l.count(a, 4*time.Second, 1, requestlimit.Limit{}), 9)
	}
}

// Guards against a process that takes the allocator it uses instead of a failed one for the regular one.
func TestSubstituteIsRecognised(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	now := time.Unix(1000, 0)
	members := fixedMembers{{Name: "a", DataCentre: "x"}, {Name: "c", DataCentre: "x"}}
	lm := New(ctx, election.Member{Name: "b", DataCentre: "y"}, newLimitAllocator(), silentPeers{}, members, requestlimit.NewTable(logger), coldstart.New(requestlimit.NewTable(logger), view.New()), view.New(), logger)
	server := registry.Server{Instance: limitedServer, DataCentre: "x"}
	regular, _, substitute := lm.allocatorOf(now, server)
	must.False(t, substitute)
	lm.excluded[regular], lm.allocators = now.Add(exclusionTime), nil
	other, _, substitute := lm.allocatorOf(now, server)
	must.NotEq(t, regular, other)
	must.True(t, substitute)
	again, _, substitute := lm.allocatorOf(now.Add(exclusionTime), server)
	must.Eq(t, regular, again)
	must.False(t, substitute)
}

// outdatedMembers are members that no coordinator confirms.
type outdatedMembers struct{ fixedMembers }

func (outdatedMembers) MembersConfirmed() bool { return false }

// Guards against two sides of a partition, or a process that has just started, that each give out the whole
// limit of a server that they all reach.
func TestOutdatedMembersGivePartOfLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		limits := requestlimit.NewTable(logger)
		self := election.Member{Name: "a", DataCentre: "x"}
		lm := New(ctx, self, newTestAllocator(limits), silentPeers{}, outdatedMembers{fixedMembers{self}}, limits, coldstart.New(limits, view.New()), view.New(), logger)
		now := time.Now()
		limits.Merge(now, limitedServer, requestlimit.Limit{PerSecond: 4, InForce: true, HeardAt: now})
		started := 0
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			server := registry.Server{Instance: limitedServer, Slots: 4, DataCentre: "x"}
			slot, err := lm.Acquire(ctx, dispatch.SlotRequest{Server: server, Arrived: time.Now(), Objective: time.Now(), Deadline: time.Now()})
			if err == nil {
				started++
				slot.Release(dispatch.Outcome{})
			}
		}
		must.Between(t, 7, started, 8)
	})
}
