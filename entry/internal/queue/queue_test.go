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

// limited returns a queue with the limits of the flood experiment.
func limited(slots int) *Queue {
	q := New(slots, time.Now)
	q.Limits(configuration.Preset{Ranks: limits})
	return q
}

// hold acquires a slot that must be free.
func hold(t *testing.T, q *Queue, r rank.Rank) *Slot {
	t.Helper()
	s, err := q.Acquire(t.Context(), Request{Rank: r})
	must.NoError(t, err)
	return s
}

// Guards against a slot that is lost when its request gives up, and against waiting requests that are never woken.
func TestAcquireWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := limited(1)
		first := hold(t, q, rank.Lookup)
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

// Guards against requests that wait although they cannot be answered in time, and against a retry time in the past.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for reason, try := range map[Reason]func(q *Queue) error{
			LineFull: func(q *Queue) error {
				q.Limits(configuration.Preset{Ranks: [rank.Count]configuration.RankLimit{{Cap: 100}}})
				_, err := q.Acquire(t.Context(), Request{})
				return err
			},
			WaitTooLong: func(q *Queue) error {
				q.scheduler.means[rank.Confirmation].add(time.Second)
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
			q := limited(1)
			slot := hold(t, q, rank.Confirmation)
			refusal, ok := errors.AsType[*RefusalError](try(q))
			must.True(t, ok)
			must.Eq(t, reason, refusal.Reason)
			must.False(t, refusal.RetryAfter.Before(time.Now()))
			q.Close()
			slot.Release(0)
			must.NoError(t, q.Drain(t.Context()))
		}
	})
}

// Guards against a mean of slow days that refuses all requests on an idle server and so never gets shorter.
func TestIdleServerAccepts(t *testing.T) {
	now := time.Unix(0, 0)
	s := newScheduler(1, Floors{}, now)
	s.means[rank.Lookup].add(time.Second)
	slot := &Slot{request: Request{Rank: rank.Lookup, Deadline: now.Add(100 * time.Millisecond)}}
	must.Nil(t, s.admit(now, slot))
	s.dispatch(now)
	must.Eq(t, running, slot.phase)
}

// Guards against uploads that stay back forever after the other ranks have become idle.
func TestKeptSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(4, time.Now)
		hold(t, q, rank.Lookup).Release(time.Millisecond)
		for range 4 {
			go func() { _, _ = q.Acquire(t.Context(), Request{Rank: rank.Upload}) }()
		}
		synctest.Wait()
		must.Eq(t, 2, q.State().Running)
		time.AfterFunc(recentWork, q.Tick)
		<-time.After(recentWork + 1)
		must.Eq(t, 4, q.State().Running)
		q.Close()
	})
}

// Guards against requests that go on waiting after a new preset or more slots would let them run.
func TestChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(2, time.Now)
		preset := configuration.Preset{Ranks: limits}
		preset.Ranks[rank.Lookup].Cap = 50
		q.Limits(preset)
		for range 4 {
			go func() { _, _ = q.Acquire(t.Context(), Request{Rank: rank.Lookup}) }()
		}
		synctest.Wait()
		must.Eq(t, 1, q.State().Running)
		q.Limits(configuration.Preset{Ranks: limits})
		must.Eq(t, 2, q.State().Running)
		q.SetSlots(3)
		must.Eq(t, 3, q.State().Running)
		q.SetSlots(0)
		must.Eq(t, 1, q.State().Ranks[rank.Lookup].Waiting)
		q.Close()
	})
}

// Guards against a suspect that stops confirmations for the whole time of a long upload.
func TestExclusiveLetsUrgentPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := limited(4)
		upload := hold(t, q, rank.Upload)
		started := make(chan *Slot, 1)
		go func() {
			s, _ := q.Acquire(t.Context(), Request{Rank: rank.Lookup, Exclusive: true})
			started <- s
		}()
		synctest.Wait()
		confirmation := hold(t, q, rank.Confirmation)
		upload.Release(time.Second)
		synctest.Wait()
		must.Eq(t, 1, q.State().Exclusive)
		confirmation.Release(time.Millisecond)
		(<-started).Release(time.Millisecond)
		must.Zero(t, q.State().Running)
	})
}

// Guards against overrun slots and caps, company for exclusive requests, starvation and requests without an outcome.
func TestScheduler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		s := newScheduler(slots, Floors{}, now)
		s.limits(limits)
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
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
				s.expire(now)
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
				must.False(t, n == 0 && !s.idle())
			},
		})
		for range 2 * len(all) {
			finish()
		}
		must.True(t, s.idle())
	})
}

// Guards against suspects that take the server from everyone else, and against everyone else keeping suspects waiting forever.
func TestExclusiveShare(t *testing.T) {
	now := time.Unix(0, 0)
	s := newScheduler(4, Floors{}, now)
	s.limits(limits)
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
		kept := active[:0]
		for _, slot := range active {
			if slot.phase == running {
				busy[slot.request.Exclusive]++
			}
			if slot.phase == running && now.Sub(slot.arrived) >= 20*time.Millisecond {
				s.finish(now, slot, 20*time.Millisecond)
				s.dispatch(now)
			}
			if slot.phase != done {
				kept = append(kept, slot)
			}
		}
		active = kept
	}
	must.Greater(t, 1000, busy[true])
	must.Greater(t, 10_000, busy[false])
}

// BenchmarkAcquire measures an acquired and released slot without contention.
func BenchmarkAcquire(b *testing.B) {
	q := limited(6)
	b.ReportAllocs()
	for b.Loop() {
		s, err := q.Acquire(b.Context(), Request{Rank: rank.Lookup})
		if err != nil {
			b.Fatal(err)
		}
		s.Release(time.Millisecond)
	}
}

// BenchmarkAcquireContended measures slots that many goroutines wait for.
func BenchmarkAcquireContended(b *testing.B) {
	q := limited(6)
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
