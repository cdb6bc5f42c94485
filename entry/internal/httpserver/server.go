// Package httpserver serves HTTP/1.1 to clients that are not under control.
//
// The standard server has no limit for the connections of all clients or for the memory of their heads, its
// timeouts are fixed when it starts, and it handles the requests of a connection one after the other. This
// server parses requests with net/http and differs in these points:
//
//   - A request that was sent ahead is handled beside those before it if the handler allows that for its kind,
//     and the responses are written in the order of the requests. A response that closes the connection is
//     the last one, and nothing behind it has been handled.
//   - The memory of heads is reserved in a budget while they are read. A head costs many times its bytes if its
//     fields are short. Requests that are handled ahead also reserve the memory for small heads and responses, of
//     which there may be many on one connection.
//   - The connections are limited. At the limit, the connection that has been idle for longest is closed.
//   - The limits are asked for at each request, so that a change applies to open connections.
//   - A client that does not read its response, or not on, is disconnected after a time without progress.
//
// # Usage
//
//	s := httpserver.New(listener, handler, func() httpserver.Limits { return limits }, heads, ahead, logger)
//	go s.Serve()
//	s.Drain()
//	err := s.Shutdown(ctx)
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"bramleystand.org/entry/internal/bodybudget"
)

// Limits bound what a client may send and for how long it may do nothing.
type Limits struct {
	// HeadBytes is the maximum size of the head of a request.
	HeadBytes int64
	// HeadTimeout is the time for the rest of a head after its first byte, and IdleTimeout how long a connection
	// without a request stays open.
	HeadTimeout time.Duration
	IdleTimeout time.Duration
	// WriteTimeout is how long a client may read nothing of a response.
	WriteTimeout time.Duration
	// Connections is the maximum number of connections.
	Connections int
}

// Handler handles requests.
type Handler interface {
	http.Handler
	// AllowsAhead reports whether a request without a body may be handled before those that were sent before
	// it on the same connection have been answered.
	AllowsAhead(r *http.Request) bool
}

const (
	// maxAhead limits the requests of a connection that are handled at once, and maxAheadTotal those of all
	// connections beyond the first of each. What is sent beyond them is read later.
	maxAhead      = 64
	maxAheadTotal = 4096
	// maxSmallResponse is the largest response body for which handlers reserve nothing.
	maxSmallResponse = 64 << 10
	// overloadInterval is the time between two log lines about connections that were closed at the limit.
	overloadInterval = 10 * time.Second
	// acceptRetryDelay is the time until the next attempt after a connection could not be accepted, because
	// descriptors are short for example.
	acceptRetryDelay = 20 * time.Millisecond
)

// Server is an HTTP server on one listener.
type Server struct {
	listener net.Listener
	handler  Handler
	limits   func() Limits
	heads    *bodybudget.Budget
	// aheadMemory is the budget for what requests ahead hold beside what is reserved elsewhere.
	aheadMemory *bodybudget.Budget
	logger      log.Interface
	counts      Counts

	mu sync.Mutex
	// conns are the open connections. idle has those without a request, in the order in which they became idle.
	conns       map[*conn]struct{}
	idle        idleList
	closing     bool
	nextWarning time.Time
	// draining is true if the next response that may close its connection does.
	draining atomic.Bool
	// empty is closed when a closing server has no connection left.
	empty chan struct{}
	ahead atomic.Int64
}

// Counts are the numbers of events since the start.
type Counts struct {
	// Accepted are the connections, Evicted the idle ones that were closed for others, and Turned those that
	// were closed at once because all had requests.
	Accepted, Evicted, Turned atomic.Int64
	// Ahead are the requests that were handled beside earlier ones of their connection.
	Ahead atomic.Int64
	// Heads are the requests that were refused because of the memory of heads, and Stalled the connections that
	// were closed because the client did not read.
	Heads, Stalled atomic.Int64
}

// New returns a server that does nothing until Serve. The memory of heads is reserved in the budget heads, and what
// requests that are handled beside earlier ones of their connection hold beyond that in the budget ahead.
func New(l net.Listener, h Handler, limits func() Limits, heads, ahead *bodybudget.Budget, logger log.Interface) *Server {
	return &Server{listener: l, handler: h, limits: limits, heads: heads, aheadMemory: ahead, logger: logger, conns: make(map[*conn]struct{}), empty: make(chan struct{})}
}

// Counts returns the counts, for metrics.
func (s *Server) Counts() map[string]int64 {
	s.mu.Lock()
	open, idle := len(s.conns), s.idle.len()
	s.mu.Unlock()
	return map[string]int64{
		"open": int64(open), "idle": int64(idle), "accepted": s.counts.Accepted.Load(), "evicted": s.counts.Evicted.Load(), "turned": s.counts.Turned.Load(),
		"ahead": s.counts.Ahead.Load(), "heads": s.counts.Heads.Load(), "stalled": s.counts.Stalled.Load(),
	}
}

// Full reports whether a new connection would be closed at once.
func (s *Server) Full() bool {
	limit := s.limits().Connections
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) >= limit && s.idle.len() == 0
}

// Serve accepts connections until the server is shut down.
func (s *Server) Serve() error {
	for {
		c, err := s.listener.Accept()
		switch {
		case err == nil:
			s.accept(c)
		case s.isClosing() || errors.Is(err, net.ErrClosed):
			return nil
		default:
			s.logger.WithError(err).Warn("connection not accepted")
			time.Sleep(acceptRetryDelay)
		}
	}
}

// accept serves a connection unless all that are allowed have requests.
func (s *Server) accept(c net.Conn) {
	limit := s.limits().Connections
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		_ = c.Close()
		return
	}
	var evicted *conn
	if len(s.conns) >= limit {
		evicted = s.idle.takeOldest()
		if evicted == nil {
			s.warnLocked(limit)
			s.mu.Unlock()
			s.counts.Turned.Add(1)
			_ = c.Close()
			return
		}
		delete(s.conns, evicted)
	}
	k := newConn(s, c)
	s.conns[k] = struct{}{}
	s.idle.add(k)
	s.mu.Unlock()
	if evicted != nil {
		s.counts.Evicted.Add(1)
		_ = evicted.net.Close()
	}
	s.counts.Accepted.Add(1)
	go k.serve()
}

// warnLocked logs that connections are closed at the limit, once in overloadInterval. The lock is held.
func (s *Server) warnLocked(limit int) {
	now := time.Now()
	if now.Before(s.nextWarning) {
		return
	}
	s.nextWarning = now.Add(overloadInterval)
	s.logger.WithField("connections", limit).Warn("all connections have requests; new ones are closed")
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// takeAhead counts a request that is to be handled beside others and reserves the memory for it. It reports whether there
// is room for it.
func (s *Server) takeAhead(e *exchange) bool {
	if s.ahead.Add(1) <= maxAheadTotal {
		e.extraMemory = s.aheadMemory.Open()
		if e.extraMemory.Reserve(e.headSize + maxSmallResponse) {
			return true
		}
	}
	s.ahead.Add(-1)
	return false
}

// begin records that a connection has a request, and reports whether the request may be handled. It may not if
// the connection has been closed as an idle one.
func (s *Server) begin(k *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle.remove(k)
	_, open := s.conns[k]
	return open
}

// rest records that a connection has no request, and reports whether it may wait for one.
func (s *Server) rest(k *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.conns[k]; !open || s.closing {
		return false
	}
	s.idle.add(k)
	return true
}

// remove removes a connection that has ended.
func (s *Server) remove(k *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle.remove(k)
	delete(s.conns, k)
	if s.closing && len(s.conns) == 0 {
		s.closeEmpty()
	}
}

// closeEmpty tells Shutdown that no connection is left. The lock is held.
func (s *Server) closeEmpty() {
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// Drain makes each connection close with the response to the latest request that is being handled, or to the next one
// if there is none. A client that always has a request under way would otherwise never leave. New connections are still
// accepted.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown closes the listener and the idle connections, and waits until the requests in progress have been
// answered or the context ends; then it closes their connections.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.mu.Lock()
	s.closing = true
	err := s.listener.Close()
	for k := s.idle.takeOldest(); k != nil; k = s.idle.takeOldest() {
		delete(s.conns, k)
		_ = k.net.Close()
	}
	if len(s.conns) == 0 {
		s.closeEmpty()
	}
	s.mu.Unlock()
	select {
	case <-s.empty:
		return err
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.conns {
		_ = k.net.Close()
	}
	return context.Cause(ctx)
}
