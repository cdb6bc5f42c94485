package peer

import (
	"errors"
	"sync"
	"time"

	"storj.io/drpc"
)

const (
	// workingInterval is the time between two signs of life while a request waits for its answer.
	workingInterval = 200 * time.Millisecond
	// silentAfter is the time without a sign of life after which a connection is given up.
	silentAfter = 3 * workingInterval
)

// errSilent ends a request whose connection carries nothing any more.
var errSilent = errors.New("peer: the connection went silent")

// heartbeat sends signs of life on a stream until it is stopped.
type heartbeat struct {
	stream drpc.Stream

	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

func startHeartbeat(stream drpc.Stream) *heartbeat {
	h := &heartbeat{stream: stream}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(workingInterval, h.beat)
	return h
}

func (h *heartbeat) beat() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return
	}
	if err := h.stream.MsgSend(&wireResponse{Working: true}, encoding{}); err != nil {
		return
	}
	h.timer.Reset(workingInterval)
}

// stop returns when no further sign of life can be sent.
func (h *heartbeat) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	h.timer.Stop()
}
