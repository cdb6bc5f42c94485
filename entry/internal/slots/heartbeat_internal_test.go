package slots

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"storj.io/drpc"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/requestlimit"
)

// messageStream delivers the given messages to an allocator and counts its replies and heartbeats.
type messageStream struct {
	drpc.Stream
	ctx      context.Context
	messages chan message
	replies  atomic.Int64
	// heartbeats counts replies without a number.
	heartbeats atomic.Int64
}

func (s *messageStream) Context() context.Context { return s.ctx }

func (s *messageStream) MsgRecv(m drpc.Message, _ drpc.Encoding) error {
	select {
	case next := <-s.messages:
		*m.(*wireMessage) = *encodeMessage(time.Now(), next)
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

func (s *messageStream) MsgSend(m drpc.Message, _ drpc.Encoding) error {
	if m.(*wireReply).Number == 0 {
		s.heartbeats.Add(1)
	} else {
		s.replies.Add(1)
	}
	return nil
}

// Guards against messages between processes that have nothing to say: with 78 processes and 16 allocators
// they were three for each request.
func TestHeartbeatsOnlyWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		a := newTestAllocator(requestlimit.NewTable(logger))
		s := &messageStream{ctx: ctx, messages: make(chan message)}
		go func() { _ = a.HandleRPC(s, slotsMethod) }()
		acquireSlot := func(number uint64) {
			now := time.Now()
			s.messages <- message{action: acquire, number: number, instance: registry.Instance{ID: "a"}, slots: 1, arrived: now, objective: now.Add(time.Minute), deadline: now.Add(time.Hour), share: 1}
		}
		elapse := func(d time.Duration) {
			time.Sleep(d)
			synctest.Wait()
		}
		acquireSlot(1)
		elapse(time.Minute)
		must.Eq(t, 1, s.replies.Load())
		must.Eq(t, 0, s.heartbeats.Load(), must.Sprint("no request waits"))
		acquireSlot(2)
		for range 10 {
			before := s.heartbeats.Load()
			elapse(heartbeatTimeout - time.Millisecond)
			must.Greater(t, before, s.heartbeats.Load(), must.Sprint("a request waits"))
		}
		s.messages <- message{action: release, number: 1, instance: registry.Instance{ID: "a"}, share: 1}
		elapse(heartbeatTimeout)
		must.Eq(t, 2, s.replies.Load())
		before := s.heartbeats.Load()
		elapse(time.Minute)
		must.Eq(t, before, s.heartbeats.Load(), must.Sprint("no request waits any more"))
		acquireSlot(3)
		elapse(heartbeatTimeout)
		s.messages <- message{action: release, number: 3, instance: registry.Instance{ID: "a"}, share: 1}
		elapse(heartbeatTimeout)
		before = s.heartbeats.Load()
		elapse(time.Minute)
		must.Eq(t, before, s.heartbeats.Load(), must.Sprint("the only waiting request was withdrawn"))
	})
}

// Guards against a link that counts as failed although no request waits for its allocator.
func TestIdleLinkNeedsNoHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lost atomic.Bool
		l, err := connect(t.Context(), silentPeers{}, fixedMembers{{}}[0].Address, slotsMethod, func(int) { lost.Store(true) })
		must.NoError(t, err)
		time.Sleep(idleLinkTimeout - time.Millisecond)
		synctest.Wait()
		must.False(t, lost.Load())
		time.Sleep(idleLinkTimeout)
		synctest.Wait()
		must.True(t, lost.Load(), must.Sprint("an unused link must be closed"))
		must.False(t, l.recentlyUsed())
	})
}
