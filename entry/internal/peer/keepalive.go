package peer

import (
	"sync"
	"time"

	"bramleystand.org/entry/internal/rpc"
	"storj.io/drpc"
)

// keepAliveInterval is the time between two keep-alive messages while a request is handled.
const keepAliveInterval = 250 * time.Millisecond

// keepAlive periodically tells the sender of a request that the request is still being
// handled, so that the sender can tell a slow request from a silent connection.
type keepAlive struct {
	stream drpc.Stream

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// startKeepAlive sends keep-alive messages on a stream until stop is called.
func startKeepAlive(stream drpc.Stream) *keepAlive {
	k := &keepAlive{stream: stream}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.timer = time.AfterFunc(keepAliveInterval, k.send)
	return k
}

func (k *keepAlive) send() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended || k.stream.MsgSend(&wireResponse{KeepAlive: true}, rpc.Encoding{}) != nil {
		return
	}
	k.timer.Reset(keepAliveInterval)
}

// stop ends the keep-alive messages. None is sent after it returns, so that none arrives among
// the chunks of the response.
func (k *keepAlive) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = true
	k.timer.Stop()
}
