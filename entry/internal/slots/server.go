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

// heartbeatInterval is the time between two heartbeats of an allocator.
const heartbeatInterval = 200 * time.Millisecond

// HandleRPC serves the stream of a process that requests slots. It implements report.RPCHandler.
func (a *Allocator) HandleRPC(stream drpc.Stream, method string) error {
	if method != slotsMethod {
		return eris.Errorf("slots: RPC method %q is unknown", method)
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	var mu sync.Mutex
	write := func(r reply) {
		mu.Lock()
		defer mu.Unlock()
		if err := stream.MsgSend(encodeReply(time.Now(), r), rpc.Encoding{}); err != nil {
			cancel()
		}
	}
	from := &requester{reply: write}
	defer func() { a.releaseAll(time.Now(), from) }()
	go func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				write(reply{})
			}
		}
	}()
	for {
		var w wireMessage
		if err := stream.MsgRecv(&w, rpc.Encoding{}); err != nil {
			if errors.Is(err, context.Canceled) {
				return nil
			}
			return fmt.Errorf("slots: receive: %w", err)
		}
		now := time.Now()
		a.handle(now, from, decodeMessage(now, &w))
	}
}
