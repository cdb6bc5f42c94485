package queue

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/rank"
)

// newLimitedQueue returns a queue with the limits of the flood simulation.
func newLimitedQueue(slots int) *Queue {
	q := New(slots, time.Now)
	q.SetLimits(configuration.Preset{Ranks: rankLimits})
	return q
}

// mustAcquire acquires a slot and fails the test if that returns an error.
func mustAcquire(t *testing.T, q *Queue, r rank.Rank) *Slot {
	t.Helper()
	s, err := q.Acquire(t.Context(), Request{Rank: r})
	must.NoError(t, err)
	return s
}

// Guards against a slot that is lost when the context of a waiting request ends, and against waiting requests that
// are not woken when a slot becomes free.
func TestAcquireCancelAndWake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newLimitedQueue(1)
		first := mustAcquire(t, q, rank.Lookup)
		ctx, cancel := context.WithCancel(t.Context())
		results := make(chan error)
		go func() {
			_, err := q.Acquire(ctx, Request{Rank: rank.Confirmation})
			results <- err
		}()
		synctest.Wait()
		cancel()
		must.ErrorIs(t, <-results, context.Canceled)
		go func() {
			s, err := q.Acquire(t.Context(), Request{Rank: rank.Upload})
			s.Release(time.Second)
			results <- err
		}()
		synctest.Wait()
		must.Eq(t, 1, q.State().Ranks[rank.Upload].Waiting)
		first.Release(time.Millisecond)
		must.NoError(t, <-results)
		must.Zero(t, q.State().Running)
	})
}

// Guards against requests that wait although they cannot be complete by their deadline, against a wrong refusal
// reason and against a retry time in the past.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for reason, try := range map[Reason]func(q *Queue) error{
			QueueFull: func(q *Queue) error {
				q.SetLimits(configuration.Preset{Ranks: [rank.Count]configuration.RankLimit{{Cap: 100}}})
				_, err := q.Acquire(t.Context(), Request{})
				return err
			},
			WaitTooLong: func(q *Queue) error {
				q.scheduler.meanServiceTime[rank.Confirmation].add(time.Second)
				go func() { _, _ = q.Acquire(t.Context(), Request{}) }()
				synctest.Wait()
				_, err := q.Acquire(t.Context(), Request{Deadline: time.Now().Add(time.Second)})
				return err
			},
			Expired: func(q *Queue) error {
				time.AfterFunc(2*time.Second, q.Tick)
				_, err := q.Acquire(t.Context(), Request{Deadline: time.Now().Add(time.Second)})
				return err
			},
			Closed: func(q *Queue) error {
				time.AfterFunc(time.Second, q.Close)
				_, err := q.Acquire(t.Context(), Request{})
				return err
			},
			Draining: func(q *Queue) error {
				ctx, cancel := context.WithCancel(t.Context())
				cancel()
				must.ErrorIs(t, q.Drain(ctx), context.Canceled)
				_, err := q.Acquire(t.Context(), Request{})
				return err
			},
		} {
			q := newLimitedQueue(1)
			slot := mustAcquire(t, q, rank.Confirmation)
			refusal, ok := errors.AsType[*RefusalError](try(q))
			must.True(t, ok)
			must.Eq(t, reason, refusal.Reason)
			must.False(t, refusal.EarliestRetry.Before(time.Now()))
			q.Close()
			slot.Release(0)
			must.NoError(t, q.Drain(t.Context()))
		}
	})
}

// Guards against a long mean service time that makes an idle server refuse all requests: without new samples the
// mean would never become shorter.
func TestIdleServerAcceptsDespiteLongMean(t *testing.T) {
	now := time.Unix(0, 0)
	s := newScheduler(1, FloorPolicy{}, now)
	s.meanServiceTime[rank.Lookup].add(time.Second)
	slot := &Slot{request: Request{Rank: rank.Lookup, Deadline: now.Add(100 * time.Millisecond)}}
	must.Nil(t, s.admit(now, slot))
	s.dispatch(now)
	must.Eq(t, running, slot.phase)
}

// Guards against uploads that keep leaving slots to the other ranks after those have become idle.
func TestReservedSlotsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(4, time.Now)
		mustAcquire(t, q, rank.Lookup).Release(time.Millisecond)
		for range 4 {
			go func() { _, _ = q.Acquire(t.Context(), Request{Rank: rank.Upload}) }()
		}
		synctest.Wait()
		must.Eq(t, 2, q.State().Running)
		time.AfterFunc(activityWindow, q.Tick)
		<-time.After(activityWindow + 1)
		must.Eq(t, 4, q.State().Running)
		q.Close()
	})
}

// Guards against requests that keep waiting although a new preset or more slots would let them run.
func TestLimitChangesStartWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(2, time.Now)
		preset := configuration.Preset{Ranks: rankLimits}
		preset.Ranks[rank.Lookup].Cap = 50
		q.SetLimits(preset)
		for range 4 {
			go func() { _, _ = q.Acquire(t.Context(), Request{Rank: rank.Lookup}) }()
		}
		synctest.Wait()
		must.Eq(t, 1, q.State().Running)
		q.SetLimits(configuration.Preset{Ranks: rankLimits})
		must.Eq(t, 2, q.State().Running)
		q.SetSlots(3)
		must.Eq(t, 3, q.State().Running)
		q.SetSlots(0)
		must.Eq(t, 1, q.State().Ranks[rank.Lookup].Waiting)
		q.Close()
	})
}

// Guards against an exclusive request that blocks confirmations while it waits for a long upload to finish.
func TestUrgentRunsBeforeExclusive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newLimitedQueue(4)
		upload := mustAcquire(t, q, rank.Upload)
		started := make(chan *Slot, 1)
		go func() {
			s, _ := q.Acquire(t.Context(), Request{Rank: rank.Lookup, Exclusive: true})
			started <- s
		}()
		synctest.Wait()
		confirmation := mustAcquire(t, q, rank.Confirmation)
		upload.Release(time.Second)
		synctest.Wait()
		must.Eq(t, 1, q.State().Exclusive)
		confirmation.Release(time.Millisecond)
		(<-started).Release(time.Millisecond)
		must.Zero(t, q.State().Running)
	})
}

// Guards against more running requests than slots or caps allow, requests that run beside an exclusive one, waiting
// requests that never start and requests that never leave the queue.
func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		s := newScheduler(slots, FloorPolicy{}, now)
		s.setLimits(rankLimits)
		var all []*Slot
		active := func() (active, exclusive int) {
			for _, slot := range all {
				if slot.phase == running {
					active++
					if slot.request.Exclusive {
						exclusive++
					}
				}
			}
			return active, exclusive
		}
		finish := func() {
			for _, slot := range all {
				if slot.phase == running {
					s.finish(now, slot, 10*time.Millisecond)
					s.dispatch(now)
					return
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				slot := &Slot{request: Request{
					Rank:      rank.Rank(rapid.IntRange(0, 2).Draw(t, "rank")),
					Deadline:  now.Add(time.Duration(rapid.IntRange(10, 1000).Draw(t, "ms")) * time.Millisecond),
					Exclusive: rapid.IntRange(0, 4).Draw(t, "exclusive") == 0,
				}}
				if s.admit(now, slot) == nil {
					all = append(all, slot)
				}
				s.dispatch(now)
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
				s.refuseOverdue(now)
				s.dispatch(now)
			},
			"finish": func(*rapid.T) { finish() },
			"abandon": func(t *rapid.T) {
				if len(all) > 0 {
					slot := rapid.SampledFrom(all).Draw(t, "slot")
					s.abandon(now, slot)
					must.Greater(t, running, slot.phase)
					s.dispatch(now)
				}
			},
			"": func(t *rapid.T) {
				n, exclusive := active()
				must.LessEq(t, slots, n)
				must.False(t, exclusive > 0 && n > 1)
				must.LessEq(t, s.view.Cap[rank.Upload], s.view.Running[rank.Upload])
				must.False(t, n == 0 && !s.isIdle())
			},
		})
		for range 2 * len(all) {
			finish()
		}
		must.True(t, s.isIdle())
	})
}

// Guards against exclusive requests that take more than half of the server's time, and against other requests that
// keep exclusive ones from running.
func TestExclusiveShare(t *testing.T) {
	now := time.Unix(0, 0)
	s := newScheduler(4, FloorPolicy{}, now)
	s.setLimits(rankLimits)
	var active []*Slot
	busy := map[bool]int{}
	for range 10_000 {
		now = now.Add(time.Millisecond)
		for _, request := range []Request{{Rank: rank.Lookup}, {Rank: rank.Upload}, {Rank: rank.Confirmation, Exclusive: true}} {
			slot := &Slot{request: request}
			if s.admit(now, slot) == nil {
				active = append(active, slot)
			}
		}
		s.dispatch(now)
		unfinished := active[:0]
		for _, slot := range active {
			if slot.phase == running {
				busy[slot.request.Exclusive]++
			}
			if slot.phase == running && now.Sub(slot.arrivedAt) >= 20*time.Millisecond {
				s.finish(now, slot, 20*time.Millisecond)
				s.dispatch(now)
			}
			if slot.phase != done {
				unfinished = append(unfinished, slot)
			}
		}
		active = unfinished
	}
	must.Greater(t, 1000, busy[true])
	must.Greater(t, 10_000, busy[false])
}

// BenchmarkAcquire measures acquiring and releasing a slot without contention.
func BenchmarkAcquire(b *testing.B) {
	q := newLimitedQueue(6)
	b.ReportAllocs()
	for b.Loop() {
		s, err := q.Acquire(b.Context(), Request{Rank: rank.Lookup})
		if err != nil {
			b.Fatal(err)
		}
		s.Release(time.Millisecond)
	}
}

// BenchmarkAcquireContended measures acquiring and releasing slots while many goroutines wait for them.
func BenchmarkAcquireContended(b *testing.B) {
	q := newLimitedQueue(6)
	b.ReportAllocs()
	b.SetParallelism(10)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			s, err := q.Acquire(b.Context(), Request{Rank: rank.Lookup})
			if err != nil {
				b.Error(err)
				return
			}
			s.Release(time.Millisecond)
		}
	})
}
