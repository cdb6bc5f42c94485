package slots

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
	"storj.io/drpc"
	"storj.io/drpc/drpcpool"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/coldstart"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/requestlimit"
	"bramleystand.org/entry/internal/view"
)

var logger = &log.Logger{Handler: discard.New()}

// silentPeers opens connections to allocators that never reply.
type silentPeers struct{}

func (silentPeers) Dial(context.Context, netip.AddrPort) (drpcpool.Conn, error) {
	return silentConn{}, nil
}

// silentConn is a connection whose streams receive nothing until their context ends.
type silentConn struct{ drpcpool.Conn }

func (silentConn) Close() error { return nil }
func (silentConn) NewStream(ctx context.Context, _ string, _ drpc.Encoding) (drpc.Stream, error) {
	return silentStream{ctx: ctx}, nil
}

type silentStream struct {
	drpc.Stream
	ctx context.Context
}

func (s silentStream) MsgSend(drpc.Message, drpc.Encoding) error { return s.ctx.Err() }
func (s silentStream) MsgRecv(drpc.Message, drpc.Encoding) error {
	<-s.ctx.Done()
	return s.ctx.Err()
}

// fixedMembers implements Members with a list that does not change.
type fixedMembers []election.Member

func (m fixedMembers) Members() []election.Member { return m }
func (m fixedMembers) MembersConfirmed() bool     { return true }

// Guards against a wait for a slot that begins anew, with the whole time of the request, after the
// allocator has failed.
func TestWaitKeepsLimitAfterAllocatorFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		lm := New(ctx, election.Member{Name: "b", DataCentre: "y"}, newTestAllocator(requestlimit.NewTable(logger)), silentPeers{},
			fixedMembers{{Name: "a", DataCentre: "x"}}, requestlimit.NewTable(logger), coldstart.New(requestlimit.NewTable(logger), view.New()), view.New(), logger)
		go lm.Run(ctx)
		begin := time.Now()
		r := dispatch.SlotRequest{
			Server:  registry.Server{Instance: registry.Instance{ID: "server", Incarnation: 1}, Slots: 1, DataCentre: "x"},
			Arrived: begin, Objective: begin.Add(time.Second), Deadline: begin.Add(4 * time.Second),
		}
		errs := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := lm.Acquire(ctx, r)
				errs <- err
			}()
		}
		must.NoError(t, <-errs)
		must.Eq(t, heartbeatTimeout, time.Since(begin))
		_, refused := errors.AsType[*dispatch.RefusalError](<-errs)
		must.True(t, refused)
		// The scheduler lets a late request wait for at most half of its time.
		must.Between(t, 2*time.Second, time.Since(begin), 2*time.Second+2*expireInterval)
	})
}

// recordingPeers opens silent connections and records the addresses.
type recordingPeers struct {
	silentPeers
	dialed chan netip.AddrPort
}

func (p recordingPeers) Dial(ctx context.Context, to netip.AddrPort) (drpcpool.Conn, error) {
	p.dialed <- to
	return p.silentPeers.Dial(ctx, to)
}

// Guards against the requests in the queue of a failed allocator being sent to the server at once.
func TestWaitMovesToNextAllocator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		peers := recordingPeers{dialed: make(chan netip.AddrPort, 10)}
		lm := New(ctx, election.Member{Name: "b", DataCentre: "y"}, newTestAllocator(requestlimit.NewTable(logger)), peers, fixedMembers{
			{Name: "a", DataCentre: "x", Address: netip.MustParseAddrPort("127.0.0.1:1")},
			{Name: "c", DataCentre: "x", Address: netip.MustParseAddrPort("127.0.0.1:2")},
		}, requestlimit.NewTable(logger), coldstart.New(requestlimit.NewTable(logger), view.New()), view.New(), logger)
		go lm.Run(ctx)
		begin := time.Now()
		r := dispatch.SlotRequest{
			Server:  registry.Server{Instance: registry.Instance{ID: "server", Incarnation: 1}, Slots: 4, DataCentre: "x"},
			Arrived: begin, Objective: begin.Add(3 * time.Second), Deadline: begin.Add(4 * time.Second),
		}
		_, err := lm.Acquire(ctx, r)
		must.NoError(t, err)
		must.Eq(t, 2, len(peers.dialed))
		must.NotEq(t, <-peers.dialed, <-peers.dialed)
		must.Eq(t, 2*heartbeatTimeout, time.Since(begin))
	})
}
