package backend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/common/outcome"
)

const (
	// piece is the size of the buffers that requests are sent from.
	piece = 32 << 10
	// smallBody is the largest body that is read before anything is sent, so that a
	// caller who breaks off leaves nothing behind. It leaves room for the head.
	smallBody = 16 << 10
	// chunkHead is the room for the size line of a piece in the chunked coding.
	chunkHead = 16
)

var (
	buffers = sync.Pool{New: func() any { b := make([]byte, 0, piece); return &b }}
	// past interrupts all reads and writes of a connection.
	past = time.Unix(1, 0)
	// head makes http.ReadResponse expect no body.
	head = &http.Request{Method: http.MethodHead}
)

// exchange is a request on its connection, and the body of its answer.
type exchange struct {
	Response
	ctx  context.Context
	pool *pool
	conn *conn
	stop func() bool
	// sent receives the end of a streamed request body; nil if there is none.
	sent   chan error
	source atomic.Pointer[error]
	body   io.ReadCloser
	// framed is true if the end of the answer can be told from a broken connection.
	framed bool
	reuse  bool
	err    error
	once   sync.Once
}

// exchange sends a request on a connection of the pool and reads the head of the answer.
func (c *Client) exchange(ctx context.Context, p *pool, path string, r *Request) (*Response, error) {
	k, err := p.get(ctx)
	if err != nil {
		return nil, notRun(err)
	}
	buffer := buffers.Get().(*[]byte)
	defer func() {
		if cap(*buffer) <= 2*piece {
			buffers.Put(buffer)
		}
	}()
	streamed, err := c.prepare(ctx, buffer, path, r)
	if err != nil {
		p.put(k, true)
		return nil, notRun(err)
	}
	x := &exchange{ctx: ctx, pool: p, conn: k, stop: context.AfterFunc(ctx, func() { k.SetDeadline(past) })}
	k.expect(r.Overdue)
	if n, err := k.Write(*buffer); err != nil {
		x.finish(false)
		if n == 0 {
			return nil, notRun(x.cause(err))
		}
		return nil, unknown(x.cause(err))
	}
	if streamed {
		x.sent = make(chan error, 1)
		go x.send(r.Body, r.Length)
	}
	if err := x.readHead(r.Method); err != nil {
		x.finish(false)
		return nil, unknown(x.cause(err))
	}
	c.clock.note(x.Header, time.Now())
	x.Body = x
	if x.framed && x.Length == 0 {
		x.err = io.EOF
		x.finish(true)
	}
	return &x.Response, nil
}

// prepare fills the buffer with the head and a small body. It tells whether the
// body is to be streamed, or why the request must not be sent.
func (c *Client) prepare(ctx context.Context, buffer *[]byte, path string, r *Request) (bool, error) {
	now := time.Now()
	deadline, _ := ctx.Deadline()
	b, err := appendHead((*buffer)[:0], c.address, path, r, deadline, now)
	*buffer = b
	if err != nil {
		return false, err
	}
	streamed := r.Body != nil && (r.Length < 0 || r.Length > smallBody)
	if r.Body != nil && !streamed {
		end := len(b)
		b = append(b, make([]byte, r.Length)...)
		*buffer = b
		if _, err := io.ReadFull(r.Body, b[end:]); err != nil {
			return false, fmt.Errorf("backend: read request body: %w", err)
		}
		now = time.Now()
	}
	// The last check before the first byte is sent.
	switch {
	case ctx.Err() != nil:
		return false, fmt.Errorf("backend: before sending: %w", context.Cause(ctx))
	case !r.StartBefore.IsZero() && !now.Before(r.StartBefore):
		return false, ErrLate
	case !deadline.IsZero() && deadline.Sub(now) < time.Millisecond:
		return false, ErrLate
	}
	return streamed, nil
}

// readHead reads the head of the final answer; interim answers show that the server works.
func (x *exchange) readHead(method string) error {
	var meta *http.Request
	if method == http.MethodHead {
		meta = head
	}
	for {
		x.conn.budget = largestHead
		r, err := http.ReadResponse(x.conn.reader, meta)
		x.conn.budget = -1
		if err != nil {
			return fmt.Errorf("backend: read answer: %w", err)
		}
		if r.StatusCode == http.StatusSwitchingProtocols {
			return eris.New("backend: read answer: protocol switched without a request")
		}
		if r.StatusCode < http.StatusOK {
			continue
		}
		x.Status, x.Header, x.Length, x.body = r.StatusCode, r.Header, r.ContentLength, r.Body
		if method == http.MethodHead {
			x.Length = 0
		}
		x.framed = x.Length >= 0 || len(r.TransferEncoding) > 0
		x.reuse = !r.Close
		x.Header.Del("Connection")
		x.Header.Del("Keep-Alive")
		x.Outcome = outcome.Ran
		if mark := x.Header.Get(outcome.Header); mark != "" {
			x.Outcome = outcome.Parse(mark)
		}
		return nil
	}
}
