package httpserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"bramleystand.org/entry/internal/bodybudget"
)

const (
	readBufferSize = 4 << 10
	// headSlack is what a head may exceed its limit by before the connection is closed. A head between both
	// is refused by the handler, which knows how its size is counted.
	headSlack = 4 << 10
	noLimit   = 1 << 62
	// suspensionGrace is how long a head is read on for after its timeout.
	suspensionGrace = 50 * time.Millisecond
)

// longAgo is a deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// readers has the read buffers of connections that have ended. Many clients open a connection for each request.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

var errHeadMemory = errors.New("httpserver: no memory left for the head")

// conn is the connection of a client. One goroutine reads the requests; each request has one that handles it.
type conn struct {
	server *Server
	net    net.Conn
	// limited is the source of reader; its limit is set before each part of a request is read.
	limited *io.LimitedReader
	reader  *bufio.Reader
	// head reserves the memory for the head that is read while inHead is true.
	head   bodybudget.Head
	inHead bool
	// headErr is the error of reading the head, and extended is true once its timeout has been extended.
	headErr  error
	extended bool
	// ctx ends when the client has left or the connection is aborted.
	ctx   context.Context
	leave context.CancelFunc

	// older and newer are the neighbours in the list of idle connections, if isIdle is true. The server's lock
	// protects them.
	older, newer *conn
	isIdle       bool

	// mu is locked before that of the server.
	mu      sync.Mutex
	changed *sync.Cond
	// active is the number of requests that have not been answered, and last the latest of them.
	active int
	last   *exchange
	// closes is true once a response has closed the connection.
	closes bool
	// awaiting is true while the reader waits for the first byte of a request, and peeking while it waits for a
	// change and watches for the end of the connection meanwhile.
	awaiting, peeking bool
}

func newConn(s *Server, c net.Conn) *conn {
	k := &conn{server: s, net: c}
	k.changed = sync.NewCond(&k.mu)
	k.limited = &io.LimitedReader{R: countedReader{k}, N: noLimit}
	k.reader = readers.Get().(*bufio.Reader)
	k.reader.Reset(k.limited)
	k.ctx, k.leave = context.WithCancel(context.Background())
	return k
}

// countedReader reads from the connection and reserves the memory for heads.
type countedReader struct{ conn *conn }

// Read implements io.Reader.
func (r countedReader) Read(b []byte) (int, error) {
	k := r.conn
	if !k.inHead {
		return k.net.Read(b)
	}
	// An error ends the head for good: net/http takes a line that an error cuts off for a whole one and reads on.
	if k.headErr != nil {
		return 0, k.headErr
	}
	n, err := k.net.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && !k.extended {
		// After a suspension of the VM the timeout may be over although the rest of the head has arrived.
		k.extended = true
		_ = k.net.SetReadDeadline(time.Now().Add(suspensionGrace))
		n, err = k.net.Read(b)
	}
	if !k.head.Add(n) {
		n, err = 0, errHeadMemory
	}
	k.headErr = err
	return n, err
}

// serve reads requests until the client has left or a response closes the connection.
func (k *conn) serve() {
	defer k.end()
	answered := make(chan struct{})
	close(answered)
	for k.awaitRequest() {
		e, status := k.readRequest(answered)
		if status != 0 {
			k.refuse(answered, status)
			return
		}
		if e == nil || !k.admit(e) {
			return
		}
		answered = e.answered
		go e.handle()
		if !e.awaitBody() {
			return
		}
	}
}

// end closes the connection when the requests in progress have ended, whose client has left or gets no more.
func (k *conn) end() {
	k.mu.Lock()
	closes := k.closes
	k.mu.Unlock()
	if !closes {
		k.leave()
	}
	k.mu.Lock()
	for k.active > 0 {
		k.changed.Wait()
	}
	k.mu.Unlock()
	if closes && k.ctx.Err() == nil {
		k.linger()
	}
	k.leave()
	_ = k.net.Close()
	k.head.Release()
	k.server.remove(k)
	k.reader.Reset(nil)
	readers.Put(k.reader)
}

// abort resets the connection, because a response has ended before its end.
func (k *conn) abort() {
	if t, ok := k.net.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	k.leave()
	_ = k.net.Close()
}

// setIdle lets the connection wait for its next request. The lock is held.
func (k *conn) setIdle() {
	if !k.server.rest(k) {
		_ = k.net.SetReadDeadline(longAgo)
		return
	}
	_ = k.net.SetReadDeadline(time.Now().Add(k.server.limits().IdleTimeout))
}

// awaitRequest waits for the first byte of a request. While earlier requests are in progress there is no time
// limit, and the end of the connection ends these.
func (k *conn) awaitRequest() bool {
	k.limited.N = noLimit
	k.mu.Lock()
	if k.closes {
		k.mu.Unlock()
		return false
	}
	k.awaiting = true
	_ = k.net.SetReadDeadline(time.Time{})
	if k.active == 0 {
		k.setIdle()
	}
	k.mu.Unlock()
	_, err := k.reader.Peek(1)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.awaiting = false
	if err != nil || k.closes || !k.server.begin(k) {
		return false
	}
	_ = k.net.SetReadDeadline(time.Now().Add(k.server.limits().HeadTimeout))
	return true
}

// readRequest returns the next request, or the status of its refusal. Both are zero if the connection has ended.
func (k *conn) readRequest(previous <-chan struct{}) (*exchange, int) {
	account := k.server.heads.Open()
	k.limited.N = k.server.limits().HeadBytes + headSlack
	k.head.Begin(account)
	k.inHead, k.headErr, k.extended = true, nil, false
	k.head.Add(k.reader.Buffered())
	request, err := http.ReadRequest(k.reader)
	k.inHead = false
	exhausted := k.limited.N <= 0
	k.limited.N = noLimit
	status := 0
	switch {
	case errors.Is(k.headErr, errHeadMemory):
		k.server.counts.Heads.Add(1)
		status = http.StatusServiceUnavailable
	case k.headErr != nil:
	case err == nil:
		status = validate(request)
	case exhausted:
		status = http.StatusRequestHeaderFieldsTooLarge
	default:
		status = http.StatusBadRequest
	}
	if err != nil || k.headErr != nil || status != 0 {
		k.head.Release()
		return nil, status
	}
	headBytes := k.head.Bytes() - int64(k.reader.Buffered())
	k.head.Keep()
	request.RemoteAddr = k.net.RemoteAddr().String()
	e := newExchange(k, request, account, previous)
	e.headSize = bodybudget.UncountedHeadSize(headBytes)
	return e, 0
}

// validate returns the status with which a request that can be parsed must be refused, or zero.
func validate(r *http.Request) int {
	if r.ProtoMajor != 1 {
		return http.StatusHTTPVersionNotSupported
	}
	if r.ProtoAtLeast(1, 1) && r.Host == "" {
		return http.StatusBadRequest
	}
	for name, values := range r.Header {
		if !isFieldName(name) {
			return http.StatusBadRequest
		}
		for _, v := range values {
			if !isFieldValue(v) {
				return http.StatusBadRequest
			}
		}
	}
	return 0
}

// isFieldName reports whether a text may be the name of a header field: it is a token of RFC 9110.
func isFieldName(name string) bool {
	for i := range len(name) {
		c := name[i]
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return name != ""
}

// isFieldValue reports whether a text may be the value of a header field: it has no control characters but tabs.
func isFieldValue(v string) bool {
	for i := range len(v) {
		if c := v[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// admit waits until a request may be handled, and reports whether it may be. A request that must not be handled
// ahead waits until those before it have been answered, and so does each request behind one that may close the
// connection.
func (k *conn) admit(e *exchange) bool {
	alone := e.mayClose() || k.last != nil && k.last.mayClose() || !k.server.handler.AllowsAhead(e.request)
	k.mu.Lock()
	defer k.mu.Unlock()
	for !k.closes && k.ctx.Err() == nil && k.mustWait(e, alone) {
		k.awaitChange()
		// The deadline that ended the wait would also end the read of the body.
		_ = k.net.SetReadDeadline(time.Time{})
	}
	if k.closes || k.ctx.Err() != nil {
		e.release()
		return false
	}
	if k.active > 0 {
		k.server.counts.Ahead.Add(1)
	}
	k.active++
	k.last = e
	return true
}

// mustWait reports whether a request waits for those that are being handled, because it must be handled alone or there is
// no room for it. While the server drains, each request waits, because the latest of those that are being handled closes
// the connection. The lock is held.
func (k *conn) mustWait(e *exchange, alone bool) bool {
	if k.active == 0 {
		return false
	}
	if alone || k.active >= maxAhead || k.server.draining.Load() {
		return true
	}
	e.extra = k.server.takeAhead(e)
	return !e.extra
}

// awaitChange waits until a request has been answered or has given back memory. As far as the buffer has room, it reads
// meanwhile, to notice that the client has left. The lock is held, but not while it waits.
func (k *conn) awaitChange() {
	if k.reader.Buffered() == k.reader.Size() {
		k.changed.Wait()
		return
	}
	k.peeking = true
	_ = k.net.SetReadDeadline(time.Time{})
	k.mu.Unlock()
	_, err := k.reader.Peek(k.reader.Buffered() + 1)
	k.mu.Lock()
	k.peeking = false
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, bufio.ErrBufferFull) {
		k.leave()
	}
}

// wake ends the wait of awaitChange.
func (k *conn) wake() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.peeking {
		_ = k.net.SetReadDeadline(longAgo)
	}
	k.changed.Broadcast()
}

// answeredOne records that a request has been answered or given up.
func (k *conn) answeredOne() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.active--
	switch {
	case k.closes || k.peeking:
		_ = k.net.SetReadDeadline(longAgo)
	case k.active == 0 && k.awaiting:
		k.setIdle()
	}
	k.changed.Broadcast()
}

// decideClose reports whether a response closes the connection: it does only if no later request is handled
// already, because what follows it counts as not read.
func (k *conn) decideClose(e *exchange, wanted bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if (wanted || k.server.draining.Load()) && k.last == e {
		k.closes = true
	}
	return k.closes
}

// refuse writes a refusal to a request that could not be read, as the last response, unless there is one already.
func (k *conn) refuse(previous <-chan struct{}, status int) {
	r := &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Close: true}
	e := newExchange(k, r, k.server.heads.Open(), previous)
	k.mu.Lock()
	if k.closes {
		k.mu.Unlock()
		e.release()
		return
	}
	k.active++
	k.last = e
	k.mu.Unlock()
	if status == http.StatusServiceUnavailable {
		e.header.Set("Retry-After", refusalRetryAfter)
	}
	http.Error(e, http.StatusText(status), status)
	e.finish()
}

// refusalRetryAfter is the Retry-After in seconds of a request whose head found no memory.
const refusalRetryAfter = "0.5"
