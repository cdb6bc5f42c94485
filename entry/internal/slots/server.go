package slots

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"bramleystand.org/entry/internal/rpc"
)

// slotsMethod and placementMethod are the names of the RPC methods between a process and an allocator, for the
// slots of a server and for requests that may run on any server of a pool. They are separate because a build
// that doesn't know the second one still serves the first.
const (
	slotsMethod     = "/bramleystand/slots"
	placementMethod = "/bramleystand/placement"
)

// heartbeatInterval is the time between two heartbeats of an allocator at which requests wait.
const heartbeatInterval = 200 * time.Millisecond

// HandleRPC serves the stream of a process that requests slots. It implements report.RPCHandler.
func (a *Allocator) HandleRPC(stream drpc.Stream, method string) error {
	if method != slotsMethod && method != placementMethod {
		return eris.Errorf("slots: RPC method %q is unknown", method)
	}
	var mu sync.Mutex
	var beats *heartbeats
	write := func(r reply) {
		mu.Lock()
		defer mu.Unlock()
		var out drpc.Message = encodeReply(time.Now(), r)
		if method == placementMethod {
			out = encodePlacementReply(time.Now(), r)
		}
		if err := stream.MsgSend(out, rpc.Encoding{}); err != nil {
			beats.stop()
		}
	}
	beats = newHeartbeats(func() { write(reply{}) })
	defer beats.stop()
	from := &requester{reply: func(r reply) {
		beats.ended(r.number)
		write(r)
	}}
	defer func() { a.releaseAll(time.Now(), from) }()
	for {
		m, err := receiveMessage(stream, method)
		if err != nil {
			if errors.Is(err, context.Canceled) {
				return nil
			}
			return fmt.Errorf("slots: receive: %w", err)
		}
		now := time.Now()
		if m.action == acquire {
			beats.requested(m.number)
		} else {
			beats.ended(m.number)
		}
		a.handle(now, from, m)
		beats.start()
	}
}

// receiveMessage returns the next message of a process.
func receiveMessage(stream drpc.Stream, method string) (message, error) {
	if method == placementMethod {
		var w wirePlacement
		err := stream.MsgRecv(&w, rpc.Encoding{})
		return decodePlacement(time.Now(), &w), err
	}
	var w wireMessage
	err := stream.MsgRecv(&w, rpc.Encoding{})
	return decodeMessage(time.Now(), &w), err
}
