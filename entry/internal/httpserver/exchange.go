package httpserver

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramleystand.org/entry/internal/bodybudget"
)

const (
	// maxWrite is the part of a response that a client must read within the write timeout.
	maxWrite = 64 << 10
	// maxJoined is the largest body that is copied behind its head.
	maxJoined = 4 << 10
)

var (
	errLeft     = errors.New("httpserver: the client has left")
	errTooLong  = errors.New("httpserver: the response is longer than its Content-Length")
	errBodyDone = errors.New("httpserver: the body has been read")
)

// exchange is a request with its response. It implements http.ResponseWriter for one goroutine.
type exchange struct {
	conn    *conn
	request *http.Request
	// account holds the memory of the request's head.
	account *bodybudget.Account
	// body is nil if the request has none.
	body *body
	// extra is true if the request is counted as one that is handled beside others. The account extraMemory then holds
	// what its head and its response take beside what is reserved elsewhere, and headSize is the part of the head.
	extra       bool
	extraMemory *bodybudget.Account
	headSize    int64
	// previous is closed when the request before this one has been answered, and answered when this one has.
	previous <-chan struct{}
	answered chan struct{}

	header http.Header
	status int
	// length is the length of the response body, which follows from the header or from buffer.
	length   int64
	written  int64
	headSent bool
	buffer   bytes.Buffer
	err      error
}

func newExchange(k *conn, r *http.Request, a *bodybudget.Account, previous <-chan struct{}) *exchange {
	e := &exchange{conn: k, request: r.WithContext(k.ctx), account: a, previous: previous, answered: make(chan struct{}), header: make(http.Header)}
	if r.Body != nil && r.Body != http.NoBody {
		e.body = &body{exchange: e, inner: r.Body, done: make(chan struct{}), expects: r.ProtoAtLeast(1, 1) && r.Header.Get("Expect") == "100-continue"}
		e.request.Body = e.body
	}
	return e
}

// mayClose reports whether the response may close the connection for a reason that lies in the request: the client has
// asked for it, or the body is not read to its end or is framed in a way that the handler does not trust.
func (e *exchange) mayClose() bool {
	return e.body != nil || e.request.Close || !e.request.ProtoAtLeast(1, 1)
}

// handle handles the request and writes what the handler has left.
func (e *exchange) handle() {
	defer e.finish()
	defer func() {
		reason := recover()
		if reason == nil {
			return
		}
		e.err = errLeft
		if reason != http.ErrAbortHandler {
			e.conn.server.logger.WithField("panic", fmt.Sprint(reason)).Error("handler failed")
		}
	}()
	e.conn.server.handler.ServeHTTP(e, e.request)
}

// release gives back what a request holds.
func (e *exchange) release() {
	if e.extra {
		e.extra = false
		e.conn.server.ahead.Add(-1)
		e.extraMemory.Close()
	}
	e.account.Close()
}

// finish sends what has not been sent, and lets the next response follow.
func (e *exchange) finish() {
	if e.err == nil && !e.headSent {
		if e.status == 0 {
			e.status = http.StatusOK
		}
		e.length = int64(e.buffer.Len())
		e.send(e.buffer.Bytes())
	}
	if e.err != nil || e.written < e.expectedLength() {
		e.conn.abort()
	}
	if e.body != nil {
		e.body.end()
	}
	e.release()
	close(e.answered)
	e.conn.answeredOne()
}

// expectedLength returns the length of the response body that is sent.
func (e *exchange) expectedLength() int64 {
	if !e.hasResponseBody() {
		return 0
	}
	return e.length
}

func (e *exchange) hasResponseBody() bool {
	return e.request.Method != http.MethodHead && e.status >= http.StatusOK && e.status != http.StatusNoContent && e.status != http.StatusNotModified
}

// Header implements http.ResponseWriter.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader implements http.ResponseWriter.
func (e *exchange) WriteHeader(status int) {
	if e.status == 0 {
		e.status = status
	}
}

// Write implements http.ResponseWriter. A response without a Content-Length is kept until its end.
func (e *exchange) Write(b []byte) (int, error) {
	if e.status == 0 {
		e.status = http.StatusOK
	}
	length, err := strconv.ParseInt(e.header.Get("Content-Length"), 10, 64)
	if err != nil || length < 0 {
		return e.buffer.Write(b)
	}
	e.length = length
	e.send(b)
	if e.err != nil {
		return 0, e.err
	}
	return len(b), nil
}

// SetReadDeadline sets the deadline for reading the body; see http.ResponseController.
func (e *exchange) SetReadDeadline(deadline time.Time) error {
	if e.body == nil {
		return nil
	}
	e.conn.mu.Lock()
	defer e.conn.mu.Unlock()
	if e.body.ended {
		return nil
	}
	return e.conn.net.SetReadDeadline(deadline)
}

// send writes a part of the response, with the head before the first one, when the responses before it have been
// written.
func (e *exchange) send(b []byte) {
	if e.err != nil {
		return
	}
	if e.extra && !e.headSent && int64(len(b)) == e.length {
		// The response is complete, so its size is known, and it may wait for long.
		e.extraMemory.Release(max(0, maxSmallResponse-int64(len(b))))
		e.conn.wake()
	}
	select {
	case <-e.previous:
	case <-e.conn.ctx.Done():
		e.err = errLeft
		return
	}
	var head []byte
	if !e.headSent {
		head = e.encodeHead()
		e.headSent = true
	}
	if !e.hasResponseBody() {
		b = nil
	}
	if e.written+int64(len(b)) > e.length {
		e.err = errTooLong
		return
	}
	e.written += int64(len(b))
	e.err = e.write(head, b)
}

// write writes a head and a part of the body. The client must read some of it within the write timeout.
func (e *exchange) write(head, b []byte) error {
	c := e.conn.net
	timeout := e.conn.server.limits().WriteTimeout
	first := min(len(b), maxWrite)
	parts := net.Buffers{head, b[:first]}
	if len(b) <= maxJoined {
		// A small body is copied behind its head, which costs less than a write of two buffers.
		parts = net.Buffers{append(head, b...)}
	}
	for {
		_ = c.SetWriteDeadline(time.Now().Add(timeout))
		if _, err := parts.WriteTo(c); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				e.conn.server.counts.Stalled.Add(1)
			}
			return fmt.Errorf("httpserver: write response: %w", err)
		}
		b = b[first:]
		if len(b) == 0 {
			return nil
		}
		first = min(len(b), maxWrite)
		parts = net.Buffers{b[:first]}
	}
}

// encodeHead returns the head of the response.
func (e *exchange) encodeHead() []byte {
	r := e.request
	unread := e.body != nil && !e.body.isDone()
	wanted := r.Close || unread || !r.ProtoAtLeast(1, 1) || e.header.Get("Connection") == "close"
	e.header.Del("Connection")
	if e.conn.decideClose(e, wanted) {
		e.header.Set("Connection", "close")
	}
	if e.status >= http.StatusOK && e.status != http.StatusNoContent && (e.status != http.StatusNotModified || e.header.Get("Content-Length") != "") {
		e.header.Set("Content-Length", strconv.FormatInt(e.length, 10))
	}
	if _, named := e.header["Date"]; !named {
		e.header["Date"] = []string{date(time.Now())}
	}
	head := make([]byte, 0, headBufferSize)
	head = append(head, "HTTP/1."...)
	head = strconv.AppendInt(head, int64(min(r.ProtoMinor, 1)), 10)
	head = append(head, ' ')
	head = strconv.AppendInt(head, int64(e.status), 10)
	head = append(head, ' ')
	head = append(head, http.StatusText(e.status)...)
	head = append(head, "\r\n"...)
	for name, values := range e.header {
		for _, v := range values {
			head = append(head, name...)
			head = append(head, ": "...)
			head = append(head, singleLine(v)...)
			head = append(head, "\r\n"...)
		}
	}
	return append(head, "\r\n"...)
}

// headBufferSize has room for the head of most responses.
const headBufferSize = 512

// singleLine returns the value of a header field without line breaks, which would begin another field.
func singleLine(v string) string {
	if strings.ContainsAny(v, "\r\n") {
		return lineBreaks.Replace(v)
	}
	return v
}

var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ")

// formattedDate is the value of a Date field with its second. Formatting takes longer than the rest of a head.
type formattedDate struct {
	second int64
	text   string
}

var lastDate atomic.Pointer[formattedDate]

// date returns the value of the Date field for a time.
func date(now time.Time) string {
	second := now.Unix()
	if d := lastDate.Load(); d != nil && d.second == second {
		return d.text
	}
	d := &formattedDate{second: second, text: now.UTC().Format(http.TimeFormat)}
	lastDate.Store(d)
	return d.text
}

// awaitBody waits until the body of the request has been read, and reports whether further requests may follow.
// They may not if the response was sent before the end of the body.
func (e *exchange) awaitBody() bool {
	if e.body == nil {
		return true
	}
	<-e.body.done
	return e.body.complete
}

// body is the body of a request. It is read by the goroutine that handles the request.
type body struct {
	exchange *exchange
	inner    io.ReadCloser
	// expects is true while the client waits for an interim response before it sends the body.
	expects bool
	// done is closed when nothing more is read, and complete is true if the whole body has been read. ended
	// is protected by the lock of the connection.
	done     chan struct{}
	once     sync.Once
	complete bool
	ended    bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.isDone() && !b.complete {
		return 0, errBodyDone
	}
	if b.expects {
		b.expects = false
		if err := b.exchange.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), nil); err != nil {
			return 0, err
		}
	}
	n, err := b.inner.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
		b.end()
	}
	return n, err
}

// Close implements io.Closer. The rest of the body is not read.
func (b *body) Close() error { return nil }

func (b *body) isDone() bool {
	select {
	case <-b.done:
		return true
	default:
		return false
	}
}

// end records that nothing more is read.
func (b *body) end() {
	b.once.Do(func() {
		b.exchange.conn.mu.Lock()
		b.ended = true
		b.exchange.conn.mu.Unlock()
		close(b.done)
	})
}
