package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/common/outcome"
	"bramleystand.org/entry/internal/bodybudget"
)

const (
	// bufferSize is the size of the buffers from which requests are sent.
	bufferSize = 32 << 10
	// maxBufferedBody is the maximum size of a body that is read in full before anything is
	// sent, so that no partial request reaches the server if the caller aborts. It leaves
	// room in the buffer for the head.
	maxBufferedBody = 16 << 10
	// chunkHeadSize is the room for the line with the size of a chunk in the chunked coding.
	chunkHeadSize = 16
)

var (
	bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, bufferSize); return &b }}
	// pastTime is a deadline that interrupts all reads and writes of a connection.
	pastTime         = time.Unix(1, 0)
	errOtherExchange = eris.New("backend: read response: it belongs to another request")
	// headRequest makes http.ReadResponse expect a response without a body.
	headRequest = &http.Request{Method: http.MethodHead}
)

// exchange is one request on its connection, and the response body as an io.ReadCloser.
type exchange struct {
	Response
	ctx  context.Context
	pool *pool
	conn *conn
	// stopAfterFunc detaches the connection from ctx; it returns false if ctx has ended.
	stopAfterFunc func() bool
	// bodySent receives the result of sending a streamed request body; nil if there is none.
	bodySent chan error
	// requestBodyErr is the error with which reading the request's body failed.
	requestBodyErr atomic.Pointer[error]
	bodyReader     io.ReadCloser
	// framed is true if the response has a length or chunked coding, so that its end can be
	// told from a broken connection.
	framed bool
	// memory is where the memory for a large head is reserved until the exchange ends.
	memory      *bodybudget.Account
	keepAlive   bool
	readErr     error
	releaseOnce sync.Once
}

// exchange sends a request on a connection of the pool and reads the head of the response.
func (c *Client) exchange(ctx context.Context, p *pool, path string, r *Request) (*Response, error) {
	cn, err := p.get(ctx)
	if err != nil {
		return nil, notRunError(err)
	}
	buffer := bufferPool.Get().(*[]byte)
	defer func() {
		if cap(*buffer) <= 2*bufferSize {
			bufferPool.Put(buffer)
		}
	}()
	cn.exchanges++
	streamed, err := c.encodeRequest(ctx, buffer, path, r, cn.exchanges)
	if err != nil {
		p.put(cn, true)
		return nil, notRunError(err)
	}
	x := &exchange{ctx: ctx, pool: p, conn: cn, memory: c.heads.Open(), stopAfterFunc: context.AfterFunc(ctx, func() { cn.SetDeadline(pastTime) })}
	cn.setOverdue(r.Overdue)
	if n, err := cn.Write(*buffer); err != nil {
		x.release(false)
		if n == 0 {
			return nil, notRunError(x.failureCause(err))
		}
		return nil, unknownError(x.failureCause(err))
	}
	if streamed {
		x.bodySent = make(chan error, 1)
		go x.sendBody(r.Body, r.BodyLength)
	}
	if err := x.readHead(r.Method); err != nil {
		x.release(false)
		return nil, unknownError(x.failureCause(err))
	}
	c.serverClock.recordReading(x.Header, time.Now())
	x.Body = x
	if x.framed && x.BodyLength == 0 {
		x.readErr = io.EOF
		x.release(true)
	}
	return &x.Response, nil
}

// encodeRequest fills the buffer with the head and, if it is small, the body of the request with the given
// number on its connection.
// It reports whether the body must be streamed, or why the request must not be sent.
func (c *Client) encodeRequest(ctx context.Context, buffer *[]byte, path string, r *Request, number uint64) (bool, error) {
	now := time.Now()
	deadline, _ := ctx.Deadline()
	b, err := appendRequestHead((*buffer)[:0], c.address, path, r, number, deadline, now)
	*buffer = b
	if err != nil {
		return false, err
	}
	streamed := r.Body != nil && (r.BodyLength < 0 || r.BodyLength > maxBufferedBody)
	if r.Body != nil && !streamed {
		headEnd := len(b)
		b = append(b, make([]byte, r.BodyLength)...)
		*buffer = b
		if _, err := io.ReadFull(r.Body, b[headEnd:]); err != nil {
			return false, fmt.Errorf("backend: read request body: %w", err)
		}
		now = time.Now()
	}
	// This is the last check before the first byte is sent.
	switch {
	case ctx.Err() != nil:
		return false, fmt.Errorf("backend: request not sent: %w", context.Cause(ctx))
	case !r.StartBefore.IsZero() && !now.Before(r.StartBefore):
		return false, ErrTooLate
	case !deadline.IsZero() && deadline.Sub(now) < time.Millisecond:
		return false, ErrTooLate
	}
	return streamed, nil
}

// readHead reads the head of the final response and skips interim responses (1xx), whose
// bytes show that the server is still working on the request. All of them together have at
// most maxInterimSize bytes, which is enough for one each 250 ms for more than two hours.
func (x *exchange) readHead(method string) error {
	var request *http.Request
	if method == http.MethodHead {
		request = headRequest
	}
	defer func() { x.conn.headBudget = -1 }()
	for left := maxInterimSize; ; {
		budget := min(maxHeadSize, left)
		x.conn.headBudget = budget
		x.conn.head.Begin(x.memory)
		r, err := http.ReadResponse(x.conn.reader, request)
		left -= budget - x.conn.headBudget
		if left == 0 && errors.Is(err, errHeadTooLarge) {
			err = errInterimTooLarge
		}
		if err != nil {
			return fmt.Errorf("backend: read response: %w", err)
		}
		if r.StatusCode == http.StatusSwitchingProtocols {
			return eris.New("backend: read response: status 101 without an upgrade request")
		}
		if r.StatusCode < http.StatusOK {
			continue
		}
		// A server that repeats the numbers repeats them in all responses.
		number := r.Header.Get(headerExchange)
		if (number != "" || x.conn.numbered) && number != strconv.FormatUint(x.conn.exchanges, 10) {
			return errOtherExchange
		}
		x.conn.numbered = number != ""
		r.Header.Del(headerExchange)
		x.Status, x.Header, x.BodyLength, x.bodyReader = r.StatusCode, r.Header, r.ContentLength, r.Body
		if method == http.MethodHead {
			x.BodyLength = 0
		}
		x.framed = x.BodyLength >= 0 || len(r.TransferEncoding) > 0
		x.keepAlive = !r.Close
		x.Header.Del("Connection")
		x.Header.Del("Keep-Alive")
		x.Outcome = outcome.Ran
		if value := x.Header.Get(outcome.Header); value != "" {
			x.Outcome = outcome.Parse(value)
		}
		return nil
	}
}
