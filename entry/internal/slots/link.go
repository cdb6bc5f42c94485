package slots

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcpool"

	"bramleystand.org/entry/internal/rpc"
)

const (
	// heartbeatTimeout is the time without a reply or heartbeat after which an allocator at which a
	// request waits counts as failed.
	heartbeatTimeout = 600 * time.Millisecond
	// connectTimeout bounds connecting to an allocator.
	connectTimeout = 250 * time.Millisecond
	// idleLinkTimeout is the time after which a link without requests is closed.
	idleLinkTimeout = 5 * time.Second
)

var errLinkLost = eris.New("slots: the connection to the allocator is lost")

// Peers opens connections to other processes.
type Peers interface {
	Dial(ctx context.Context, to netip.AddrPort) (drpcpool.Conn, error)
}

// link is the stream to one allocator.
type link struct {
	cancel context.CancelFunc
	stream drpc.Stream
	method string

	// sendMu serializes messages. It is locked before mu.
	sendMu sync.Mutex

	mu         sync.Mutex
	lastNumber uint64
	// pending has a channel for each request without a reply, by its number.
	pending  map[uint64]chan reply
	lost     bool
	lastUsed time.Time
	// overdue closes the link when the allocator has been silent for too long. It runs while a request
	// is pending.
	overdue *time.Timer
	// unused closes the link when it has not been used for idleLinkTimeout.
	unused *time.Timer
}

// connect opens a link and receives replies until the link is lost; then it calls onLost with the
// number of requests that wait for a reply, before they learn of the loss.
func connect(ctx context.Context, p Peers, to netip.AddrPort, method string, onLost func(waiting int)) (*link, error) {
	bounded, stop := context.WithTimeout(ctx, connectTimeout)
	conn, err := p.Dial(bounded, to)
	stop()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	stream, err := conn.NewStream(ctx, method, rpc.Encoding{})
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, fmt.Errorf("slots: open stream to %s: %w", to, err)
	}
	l := &link{cancel: cancel, stream: stream, method: method, pending: make(map[uint64]chan reply), lastUsed: time.Now()}
	l.overdue = time.AfterFunc(heartbeatTimeout, cancel)
	l.overdue.Stop()
	l.unused = time.AfterFunc(idleLinkTimeout, l.closeUnused)
	go func() {
		l.receive()
		l.overdue.Stop()
		l.unused.Stop()
		cancel()
		_ = conn.Close()
		onLost(l.markLost())
		l.closePending()
	}()
	return l, nil
}

// receive delivers replies until the stream ends or is cancelled.
func (l *link) receive() {
	for {
		r, err := l.receiveReply()
		if err != nil {
			return
		}
		l.deliver(r)
	}
}

func (l *link) receiveReply() (reply, error) {
	if l.method == placementMethod {
		var w wirePlacementReply
		err := l.stream.MsgRecv(&w, rpc.Encoding{})
		return decodePlacementReply(time.Now(), &w), err
	}
	var w wireReply
	err := l.stream.MsgRecv(&w, rpc.Encoding{})
	return decodeReply(time.Now(), &w), err
}

// closeUnused closes the link if it has not been used for idleLinkTimeout, and otherwise checks it again
// when that time would end.
func (l *link) closeUnused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		return
	}
	left := idleLinkTimeout - time.Since(l.lastUsed)
	if len(l.pending) == 0 && left <= 0 {
		l.cancel()
		return
	}
	if left <= 0 {
		left = idleLinkTimeout
	}
	l.unused.Reset(left)
}

// markLost makes further requests fail and returns the number of pending ones.
func (l *link) markLost() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = true
	return len(l.pending)
}

// closePending closes the channels of all pending requests.
func (l *link) closePending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n, c := range l.pending {
		close(c)
		delete(l.pending, n)
	}
}

// deliver passes a reply to its request. A heartbeat only shows that the allocator is alive.
func (l *link) deliver(r reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c, ok := l.pending[r.number]; ok {
		delete(l.pending, r.number)
		c <- r
	}
	l.expectReply()
}

// expectReply lets the allocator be silent for heartbeatTimeout from now if a request is pending, and
// for any time otherwise. The lock is held.
func (l *link) expectReply() {
	if len(l.pending) == 0 {
		l.overdue.Stop()
		return
	}
	l.overdue.Reset(heartbeatTimeout)
}

// acquire requests a slot and returns the number of the request. The reply comes on the channel,
// which is closed if the link is lost.
func (l *link) acquire(m message) (uint64, <-chan reply, error) {
	l.mu.Lock()
	if l.lost {
		l.mu.Unlock()
		return 0, nil, errLinkLost
	}
	l.lastNumber++
	m.action, m.number = acquire, l.lastNumber
	c := make(chan reply, 1)
	l.pending[m.number] = c
	if len(l.pending) == 1 {
		l.expectReply()
	}
	l.lastUsed = time.Now()
	l.mu.Unlock()
	return m.number, c, l.write(m)
}

// release returns a slot, or withdraws a request that waits for one.
func (l *link) release(m message) {
	l.mu.Lock()
	delete(l.pending, m.number)
	if len(l.pending) == 0 {
		l.overdue.Stop()
	}
	l.lastUsed = time.Now()
	l.mu.Unlock()
	m.action = release
	// If the write fails, the link is lost, and the allocator frees all slots of this process.
	_ = l.write(m)
}

func (l *link) write(m message) error {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	var out drpc.Message = encodeMessage(time.Now(), m)
	if l.method == placementMethod {
		out = encodePlacement(time.Now(), m)
	}
	if err := l.stream.MsgSend(out, rpc.Encoding{}); err != nil {
		l.cancel()
		return fmt.Errorf("slots: send: %w", err)
	}
	return nil
}

// recentlyUsed reports whether the link was in use until now. A link that was not has been closed
// on purpose.
func (l *link) recentlyUsed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastUsed) < idleLinkTimeout
}
