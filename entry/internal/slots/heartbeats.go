package slots

import (
	"sync"
	"time"
)

// heartbeats tells a process that its allocator is alive while requests of the process wait. Without
// a waiting request nobody would notice a failure, and nothing is sent.
type heartbeats struct {
	send func()

	mu sync.Mutex
	// waiting has the numbers of the requests without a reply.
	waiting map[uint64]struct{}
	timer   *time.Timer
	// active is true while the timer runs.
	active  bool
	stopped bool
}

func newHeartbeats(send func()) *heartbeats {
	h := &heartbeats{send: send, waiting: make(map[uint64]struct{})}
	h.timer = time.AfterFunc(heartbeatInterval, h.beat)
	h.timer.Stop()
	return h
}

// requested records that a request has begun to wait, and ended that it no longer does.
func (h *heartbeats) requested(number uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting[number] = struct{}{}
}

func (h *heartbeats) ended(number uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.waiting, number)
}

// start begins to send heartbeats if a request waits. Most requests get a reply at once.
func (h *heartbeats) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.active && len(h.waiting) > 0 && !h.stopped {
		h.active = true
		h.timer.Reset(heartbeatInterval)
	}
}

func (h *heartbeats) beat() {
	h.mu.Lock()
	h.active = len(h.waiting) > 0 && !h.stopped
	if h.active {
		h.timer.Reset(heartbeatInterval)
	}
	active := h.active
	h.mu.Unlock()
	if active {
		h.send()
	}
}

func (h *heartbeats) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	h.timer.Stop()
}
