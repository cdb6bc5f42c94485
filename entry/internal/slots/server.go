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

// slotsMethod is the name of the RPC method between a process and an allocator.
const slotsMethod = "/bramleystand/slots"

// heartbeatInterval is the time between two heartbeats of an allocator at which requests wait.
const heartbeatInterval = 200 * time.Millisecond

// HandleRPC serves the stream of a process that requests slots. It implements report.RPCHandler.
func (a *Allocator) HandleRPC(stream drpc.Stream, method string) error {
	if method != slotsMethod {
		return eris.Errorf("slots: RPC method %q is unknown", method)
	}
	var mu sync.Mutex
	var beats *heartbeats
	write := func(r reply) {
		mu.Lock()
		defer mu.Unlock()
		if err := stream.MsgSend(encodeReply(time.Now(), r), rpc.Encoding{}); err != nil {
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
		var w wireMessage
		if err := stream.MsgRecv(&w, rpc.Encoding{}); err != nil {
			if errors.Is(err, context.Canceled) {
				return nil
			}
			return fmt.Errorf("slots: receive: %w", err)
		}
		now := time.Now()
		m := decodeMessage(now, &w)
		if m.action == acquire {
			beats.requested(m.number)
		} else {
			beats.ended(m.number)
		}
		a.handle(now, from, m)
		beats.start()
	}
}
