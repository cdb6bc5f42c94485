// Package origin sends requests to one backend server over HTTP/1.1 and returns whole
// answers.
//
// A server may break off an answer, send more than one, send one late on a connection that
// has since been given to another request, or answer before it has read the request. An
// answer is therefore taken only if it repeats the identifier of the request, and a
// connection is used again only if request and answer have ended on it. Header fields with a
// meaning of their own are read and written by Fields.
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
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// dialTimeout bounds opening a connection. Data centres are 1.5 ms apart; a first packet
	// that is lost is sent again after a second, so waiting longer does not help.
	dialTimeout = 300 * time.Millisecond
	// probeTimeout bounds the connection that finds out whether a server has crashed.
	probeTimeout = 50 * time.Millisecond
	// inlineBody is the largest body that is written together with the head.
	inlineBody = 16 << 10
	// largestAnswer bounds the memory for one answer.
	largestAnswer = 16 << 20
	// largestStray bounds the answers to other requests that are skipped on a connection.
	largestStray = 3
	// idleConnections is the most idle connections that are kept for a server.
	idleConnections = 8
)

var (
	errClosed  = eris.New("origin: client is closed")
	errForeign = eris.New("origin: the answer belongs to another request")
	errLarge   = eris.New("origin: the answer is too large")
	errSwitch  = eris.New("origin: protocol switched without a request")
	errNoConn  = eris.New("origin: all connections are in use")
)

// Dialer opens connections; *net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends requests to one server. It is safe for concurrent use.
type Client struct {
	address netip.AddrPort
	dialer  Dialer
	fields  Fields

	mu     sync.Mutex
	idle   []*conn
	open   int
	limit  int
	closed bool
}

// New returns a client without connections.
func New(address netip.AddrPort, connections int, d Dialer, f Fields) *Client {
	return &Client{address: address, limit: max(1, connections), dialer: d, fields: f}
}

// SetConnections changes the largest number of connections.
func (c *Client) SetConnections(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = max(1, n)
}

// Close closes the idle connections; those in use are closed after their request.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, k := range c.idle {
		_ = k.Close()
		c.open--
	}
	c.idle = nil
}

// Do sends a request and returns the whole answer. An error is an *Error. The end of the
// context closes the connection, so that the server can stop its work.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	k, err := c.get(ctx, r.Fresh)
	if err != nil {
		return nil, &Error{Unreachable: !errors.Is(err, errNoConn), Cause: err}
	}
	stop := context.AfterFunc(ctx, k.abort)
	response, reusable, err := c.exchange(k, r)
	if !stop() {
		reusable = false
	}
	c.put(k, reusable, response)
	if err != nil {
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
		}
		return nil, &Error{Sent: true, Reused: k.reused, Cause: err}
	}
	return response, nil
}

// ConnectionRefused reports whether a new connection is refused, because no process listens.
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

// exchange sends the request and reads its answer; reusable tells whether the connection may
// carry another request.
func (c *Client) exchange(k *conn, r *Request) (response *Response, reusable bool, err error) {
	buffer := appendHead(make([]byte, 0, 1024), c.fields, r, time.Now())
	sent := make(chan error, 1)
	if len(r.Body) <= inlineBody {
		_, err := k.Write(append(buffer, r.Body...))
		sent <- err
	} else {
		go func() {
			_, err := (&net.Buffers{buffer, r.Body}).WriteTo(k.Conn)
			sent <- err
		}()
	}
	response, keep, err := c.receive(k, r)
	if err != nil {
		return nil, false, err
	}
	// The server may have answered before it has read the body. What it gets next on this
	// connection would then be taken for the rest of the body.
	select {
	case failed := <-sent:
		keep = keep && failed == nil
	default:
		keep = false
	}
	return response, keep, nil
}

// receive reads answers until the one that belongs to the request.
func (c *Client) receive(k *conn, r *Request) (*Response, bool, error) {
	for range largestStray {
		head, err := readHead(k, r.Method)
		if err != nil {
			return nil, false, err
		}
		body, err := io.ReadAll(io.LimitReader(head.Body, largestAnswer+1))
		if err != nil {
			return nil, false, fmt.Errorf("origin: read answer: %w", err)
		}
		if len(body) > largestAnswer {
			return nil, false, errLarge
		}
		framed := head.ContentLength >= 0 || len(head.TransferEncoding) > 0
		if id := c.fields.ID(head.Header); id != r.ID {
			if id == "" || !framed || head.Close {
				return nil, false, errForeign
			}
			continue
		}
		return &Response{
			Status: head.StatusCode, Header: head.Header, Body: body,
			NotRun: c.fields.NotRun(head.StatusCode, head.Header),
			Proved: c.fields.Complete(head.Header),
		}, framed && !head.Close && k.reader.Buffered() == 0, nil
	}
	return nil, false, errForeign
}

// readHead reads the head of a final answer; interim answers are skipped.
func readHead(k *conn, method string) (*http.Response, error) {
	for {
		head, err := http.ReadResponse(k.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("origin: read answer: %w", err)
		}
		if head.StatusCode == http.StatusSwitchingProtocols {
			return nil, errSwitch
		}
		if head.StatusCode >= http.StatusOK {
			return head, nil
		}
	}
}

// get returns an idle connection or opens one.
func (c *Client) get(ctx context.Context, fresh bool) (*conn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errClosed
	}
	now := time.Now()
	for len(c.idle) > 0 {
		last := len(c.idle) - 1
		k := c.idle[last]
		c.idle = c.idle[:last]
		if k.usable(now, fresh) {
			c.mu.Unlock()
			return k, nil
		}
		_ = k.Close()
		c.open--
	}
	if c.open >= c.limit {
		c.mu.Unlock()
		return nil, errNoConn
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

// put keeps a connection for another request or closes it.
func (c *Client) put(k *conn, reusable bool, r *Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reusable && !c.closed && len(c.idle) < idleConnections {
		k.rest(time.Now(), r.Header)
		c.idle = append(c.idle, k)
		return
	}
	c.open--
	k.abort()
}
