// Package origin sends requests to one backend server over HTTP/1.1 and returns complete
// responses.
//
// A server may abort a response, send more than one, send one late on a connection that is
// already used for another request, or respond before it has read the request. Therefore a
// response is accepted only if it repeats the identifier of the request, and a connection is
// reused only if both the request and the response were transferred completely. The header
// fields that are specific to the platform are read and written by HeaderFields.
//
// # Usage
//
//	client := origin.New(address, connections, dialer, fields)
//	response, err := client.Do(ctx, request)
//	if failure, ok := errors.AsType[*origin.Error](err); ok && !failure.Sent {
//		// The request was not run.
//	}
package origin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/entry/internal/bodybudget"
)

const (
	// dialTimeout bounds opening a connection. Data centres are 1.5 ms apart, and TCP sends a lost
	// first packet again only after a second, so a longer wait does not help.
	dialTimeout = 300 * time.Millisecond
	// probeTimeout bounds the connection attempt that shows whether a server has crashed.
	probeTimeout = 50 * time.Millisecond
	// maxInlineBody is the largest body that is copied behind the head and written with it.
	maxInlineBody = 16 << 10
	// maxHeadBytes limits the head of a response together with the interim (1xx) responses before it.
	// The limit for the heads of clients' requests is the same.
	maxHeadBytes = 64 << 10
	// maxResponseBody bounds the body of a response, which is held in memory.
	maxResponseBody = 16 << 20
	// firstBodyBuffer is the size of the first buffer for a body. Each further one is twice as large.
	firstBodyBuffer = 4 << 10
	// maxUncountedBody is the largest buffer that is not reserved in the account of a request, so that
	// small responses pass while large ones take the whole budget.
	maxUncountedBody = 64 << 10
	// maxBodyTransfer limits the bytes in which a body is transferred, with the framing of its chunks. A
	// body of maxResponseBody fits in if its chunks have 6 bytes or more.
	maxBodyTransfer = 2 * maxResponseBody
	// maxResponses is the number of responses that are read for one request, while those to other
	// requests are skipped.
	maxResponses = 3
	// maxStatus is the largest status of HTTP.
	maxStatus = 599
	// defaultMaxIdle is the number of idle connections that are kept for a server unless SetMaxIdle changes it.
	defaultMaxIdle = 8
	// sweepInterval is the time between two checks of the idle connections.
	sweepInterval = time.Second
)

var (
	errClosed           = eris.New("origin: the client is closed")
	errWrongRequestID   = eris.New("origin: the response does not repeat the identifier of the request")
	errNotHTTP          = eris.New("origin: the server sent bytes that are not an HTTP response")
	errHeadTooLarge     = eris.New("origin: the response head is larger than 64 KiB")
	errResponseTooLarge = eris.New("origin: the response body is larger than 16 MiB")
	errTransferTooLarge = eris.New("origin: the response body takes more than 32 MiB with the framing of its chunks")
	errMemoryLimit      = eris.New("origin: no memory left for the response, other responses take it")
	errStatus           = eris.New("origin: the status of the response is not one of HTTP")
	errUnfinished       = eris.New("origin: the connection has ended before the request was sent, so the response may not be complete")
	errProtocolSwitch   = eris.New("origin: the server switched protocols, which was not requested")
	errConnectionLimit  = eris.New("origin: all connections to the server are in use")
)

// Dialer opens connections; *net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends requests to one server. It is safe for concurrent use.
type Client struct {
	address netip.AddrPort
	dialer  Dialer
	fields  HeaderFields

	mu   sync.Mutex
	idle []*conn
	// sweeper calls closeUnusable; sweeping is true while it is due.
	sweeper  *time.Timer
	sweeping bool
	// open is the number of open connections, idle ones and those being opened included.
	open    int
	maxOpen int
	maxIdle int
	closed  bool
}

// New returns a client that opens at most maxConnections connections to the address, when they are
// needed.
func New(address netip.AddrPort, maxConnections int, d Dialer, f HeaderFields) *Client {
	c := &Client{address: address, maxOpen: max(1, maxConnections), maxIdle: defaultMaxIdle, dialer: d, fields: f}
	c.sweeper = time.AfterFunc(sweepInterval, c.closeUnusable)
	c.sweeper.Stop()
	return c
}

// SetMaxIdle changes the number of idle connections that are kept from the next response on.
func (c *Client) SetMaxIdle(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxIdle = n
}

// HasIdle reports whether there is an idle connection that a request may use. If fresh is true, it is one that has
// been idle for a short time only.
func (c *Client) HasIdle(now time.Time, fresh bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		if now.Before(k.idleUntil) && (!fresh || now.Sub(k.idleSince) <= maxFreshIdleTime/2) {
			return true
		}
	}
	return false
}

// Close closes the idle connections. Those in use are closed after their request.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.sweeper.Stop()
	for _, k := range c.idle {
		_ = k.Close()
		c.open--
	}
	c.idle = nil
}

// Do sends a request and returns the complete response. An error is always an *Error. When the
// context ends, the connection is closed, so that the server can abort its work.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	k, err := c.getConn(ctx, r)
	if err != nil {
		return nil, &Error{Unreachable: !errors.Is(err, errConnectionLimit) && !errors.Is(err, errClosed), Cause: err}
	}
	reused := k.reused
	k.markCarried(r.ID)
	stop := context.AfterFunc(ctx, k.abort)
	response, reusable, err := c.roundTrip(k, r)
	if !stop() {
		reusable = false
	}
	if err != nil {
		k.head.Release()
	} else {
		k.head.Keep()
	}
	c.putConn(k, reusable, response)
	if err != nil {
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
		}
		return nil, &Error{Sent: true, Reused: reused, Unanswered: !k.answered(), Cause: err}
	}
	response.Reused = reused
	return response, nil
}

// ConnectionRefused reports whether the server refuses a new connection, as it does when no process
// listens on its port.
func (c *Client) ConnectionRefused(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	k, err := c.dialer.DialContext(bounded, "tcp", c.address.String())
	if err == nil {
		_ = k.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// roundTrip sends the request and reads its response. The connection may be used for another
// request if reusable is true.
func (c *Client) roundTrip(k *conn, r *Request) (response *Response, reusable bool, err error) {
	buffer := appendHead(make([]byte, 0, 1024), c.fields, r, time.Now())
	sent := make(chan error, 1)
	if len(r.Body) <= maxInlineBody {
		_, err := k.Write(append(buffer, r.Body...))
		sent <- err
	} else {
		go func() {
			_, err := (&net.Buffers{buffer, r.Body}).WriteTo(k.Conn)
			sent <- err
		}()
	}
	response, framed, keep, err := c.readResponse(k, r)
	if err != nil {
		return nil, false, err
	}
	if !framed {
		// The response ends with the connection. If the connection was reset, the write of the request may have
		// got the error, and the read an end as after a close. The connection must have ended after the request.
		if err := <-sent; err != nil {
			return nil, false, fmt.Errorf("%w: %w", errUnfinished, err)
		}
		return response, false, nil
	}
	// The server may have responded before it has read the whole body. It would then take the
	// next request on this connection for the rest of the body.
	select {
	case sendErr := <-sent:
		keep = keep && sendErr == nil
	default:
		keep = false
	}
	return response, keep, nil
}

// readResponse reads responses until the one that belongs to the request. The response is framed if its length
// does not follow from the end of the connection.
func (c *Client) readResponse(k *conn, r *Request) (response *Response, framed, keep bool, err error) {
	for k.heads = 0; k.heads < maxResponses; k.heads++ {
		head, err := readHead(k, r)
		if err != nil {
			return nil, false, false, err
		}
		framed = head.ContentLength >= 0 || len(head.TransferEncoding) > 0
		if id := c.fields.ID(head.Header); id != r.ID {
			if id == "" || !framed || head.Close {
				return nil, false, false, errWrongRequestID
			}
			if err := skipBody(k, head); err != nil {
				return nil, false, false, err
			}
			continue
		}
		body, err := readBody(k, r, head)
		if err != nil {
			return nil, false, false, err
		}
		perSecond, named, limitErr := c.fields.RequestLimit(head.Header)
		leaving, leavingErr := c.fields.IsLeaving(head.Header)
		heldUntil, heldErr := c.heldUntil(head)
		load, loadErr := c.fields.ServerLoad(head.Header)
		return &Response{
			HeldUntil: heldUntil, HeldErr: heldErr,
			Load: load, LoadErr: loadErr,
			Leaving: leaving, LeavingErr: leavingErr,
			OtherServer: c.fields.OtherServer(head.StatusCode, head.Header, r.Server),
			Status:      head.StatusCode, Header: head.Header, Body: body,
			Limit:          Limit{PerSecond: perSecond, Named: named, Err: limitErr},
			NotRun:         c.fields.NotRun(head.StatusCode, head.Header),
			HasServerProof: c.fields.HasProof(head.Header),
		}, framed, framed && !head.Close && k.reader.Buffered() == 0, nil
	}
	return nil, false, false, errWrongRequestID
}

// heldUntil returns the time until which the server wants no request, or zero. Only a response with the status
// 503 states that.
func (c *Client) heldUntil(head *http.Response) (time.Time, error) {
	if head.StatusCode != http.StatusServiceUnavailable {
		return time.Time{}, nil
	}
	until, named, err := c.fields.RetryAfter(time.Now(), head.Header)
	if err != nil || !named {
		return time.Time{}, err
	}
	return until, nil
}

// readHead reads the head of the final response and skips interim (1xx) responses. It reads at most
// maxHeadBytes from the server, and reserves the memory for them in the request's account.
func readHead(k *conn, r *Request) (*http.Response, error) {
	k.limited.N = maxHeadBytes
	k.head.Begin(r.Memory)
	k.inHead, k.headErr = true, nil
	defer func() { k.inHead = false }()
	for {
		if !k.receivesHTTP() {
			return nil, errNotHTTP
		}
		head, err := http.ReadResponse(k.reader, &http.Request{Method: r.Method})
		if err == nil {
			err = k.headErr
		}
		if err != nil && k.limited.N <= 0 {
			return nil, errHeadTooLarge
		}
		if err != nil {
			return nil, fmt.Errorf("origin: read response: %w", err)
		}
		if head.StatusCode == http.StatusSwitchingProtocols {
			return nil, errProtocolSwitch
		}
		if head.StatusCode < http.StatusContinue || head.StatusCode > maxStatus {
			return nil, errStatus
		}
		if head.StatusCode >= http.StatusOK {
			return head, nil
		}
	}
}

// readBody reads the body of a response into memory that it reserves in the request's account.
func readBody(k *conn, r *Request, head *http.Response) ([]byte, error) {
	limit := int64(maxResponseBody)
	switch {
	case r.Method == http.MethodHead:
		limit = 0
	case head.ContentLength > limit:
		return nil, errResponseTooLarge
	case head.ContentLength >= 0:
		limit = head.ContentLength
	}
	k.limited.N = maxBodyTransfer
	body, err := readAll(head.Body, r.Memory, limit)
	if err := bodyError(k, int64(len(body)), err); err != nil {
		r.Memory.Release(CountedSize(int64(cap(body))))
		return nil, err
	}
	return body, nil
}

// readAll reads a body until its end or until it has more than limit bytes. The capacity of the slice
// that it returns, also with an error, is reserved in the account, unless it is small.
func readAll(from io.Reader, account *bodybudget.Account, limit int64) ([]byte, error) {
	var body []byte
	for int64(len(body)) <= limit {
		if len(body) == cap(body) {
			size := min(max(firstBodyBuffer, 2*int64(cap(body))), limit+1)
			if !account.Reserve(CountedSize(size)) {
				return body, errMemoryLimit
			}
			larger := append(make([]byte, 0, size), body...)
			account.Release(CountedSize(int64(cap(body))))
			body = larger
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
	return body, nil
}

// CountedSize returns how much of a buffer is reserved.
func CountedSize(size int64) int64 {
	if size <= maxUncountedBody {
		return 0
	}
	return size
}

// skipBody reads the body of a response to another request without keeping it.
func skipBody(k *conn, head *http.Response) error {
	k.limited.N = maxBodyTransfer
	n, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxResponseBody+1))
	return bodyError(k, n, err)
}

// bodyError returns why a body of n bytes, whose reading ended with err, is not usable, or nil.
func bodyError(k *conn, n int64, err error) error {
	switch {
	case k.limited.N <= 0:
		return errTransferTooLarge
	case errors.Is(err, errMemoryLimit):
		return err
	case err != nil:
		return fmt.Errorf("origin: read response: %w", err)
	case n > maxResponseBody:
		return errResponseTooLarge
	}
	return nil
}

// takeIdle returns the idle connection that was used last, or nil if none can be used for the request. It
// closes those that it finds expired. The lock is held.
func (c *Client) takeIdle(now time.Time, r *Request) *conn {
	for i := len(c.idle) - 1; i >= 0; i-- {
		k := c.idle[i]
		if k.hasCarried(r.ID) {
			// A second copy of the earlier response would be taken for the response to this request.
			continue
		}
		c.idle = slices.Delete(c.idle, i, i+1)
		if k.isReusable(now, r.Fresh) {
			return k
		}
		_ = k.Close()
		c.open--
	}
	return nil
}

// getConn returns an idle connection or opens one.
func (c *Client) getConn(ctx context.Context, r *Request) (*conn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errClosed
	}
	now := time.Now()
	if !r.Repeated {
		if k := c.takeIdle(now, r); k != nil {
			c.mu.Unlock()
			return k, nil
		}
	}
	if c.open >= c.maxOpen && len(c.idle) > 0 {
		_ = c.idle[0].Close()
		c.idle = c.idle[1:]
		c.open--
	}
	if c.open >= c.maxOpen {
		c.mu.Unlock()
		return nil, errConnectionLimit
	}
	c.open++
	c.mu.Unlock()
	bounded, cancel := context.WithDeadline(ctx, now.Add(dialTimeout))
	defer cancel()
	inner, err := c.dialer.DialContext(bounded, "tcp", c.address.String())
	if err != nil {
		c.mu.Lock()
		c.open--
		c.mu.Unlock()
		return nil, fmt.Errorf("origin: connect: %w", err)
	}
	return newConn(inner), nil
}

// putConn keeps a reusable connection as idle, unless there are enough, and resets any other.
func (c *Client) putConn(k *conn, reusable bool, r *Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reusable && !c.closed && len(c.idle) < c.maxIdle {
		k.markIdle(time.Now(), r.Header)
		c.idle = append(c.idle, k)
		c.scheduleSweep()
		return
	}
	c.open--
	k.abort()
}

// scheduleSweep schedules the next check of the idle connections unless it is due already. The lock is
// held.
func (c *Client) scheduleSweep() {
	if !c.sweeping {
		c.sweeping = true
		c.sweeper.Reset(sweepInterval)
	}
}

// closeUnusable closes the idle connections that have expired or on which the server has sent data, so
// that they hold no memory of the kernel and no file descriptor until the next request.
func (c *Client) closeUnusable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweeping = false
	now := time.Now()
	c.idle = slices.DeleteFunc(c.idle, func(k *conn) bool {
		if k.isReusable(now, false) {
			return false
		}
		k.abort()
		c.open--
		return true
	})
	if len(c.idle) > 0 {
		c.scheduleSweep()
	}
}
