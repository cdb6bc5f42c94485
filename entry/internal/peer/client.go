package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/exchange"
	"bramleystand.org/entry/internal/rpc"
)

const (
	// dialTimeout bounds the time to open a connection; data centres are 1.5 ms apart.
	dialTimeout = 250 * time.Millisecond
	// callTimeout bounds a control call. A silent connection thus fails only one periodic call
	// before it is replaced.
	callTimeout = 300 * time.Millisecond
	// silenceTimeout is the time without any message from the leaseholder after which the
	// connection of a forwarded request counts as silent. It allows for three missed keep-alive
	// messages.
	silenceTimeout = 4 * keepAliveInterval
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = time.Minute
	// idleConnections is the maximum number of unused connections kept for one peer in each pool.
	idleConnections = 128
)

// errDial means that no connection could be opened, so that nothing was sent.
var errDial = errors.New("peer: no connection")

// errSilent is the cancel cause of a request on a connection on which no message arrives any more.
var errSilent = errors.New("peer: connection is silent")

// Dialer opens connections; *net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls other entry processes over pooled connections.
type Client struct {
	dialer      Dialer
	forwardPool *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
	controlPool *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
}

// NewClient returns a client that opens connections with d when it needs them.
func NewClient(d Dialer) *Client {
	options := drpcpool.Options{Expiration: idleTimeout, KeyCapacity: idleConnections}
	return &Client{
		dialer:      d,
		forwardPool: drpcpool.New[netip.AddrPort, drpcpool.Conn](options),
		// Control calls have their own connections, so that they never wait for request or
		// response bodies.
		controlPool: drpcpool.New[netip.AddrPort, drpcpool.Conn](options),
	}
}

// Close closes all idle connections.
func (c *Client) Close() error {
	if err := errors.Join(c.forwardPool.Close(), c.controlPool.Close()); err != nil {
		return fmt.Errorf("peer: close connections: %w", err)
	}
	return nil
}

func (c *Client) dial(ctx context.Context, address netip.AddrPort) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDial, err)
	}
	return &rpc.Conn{Conn: drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: rpc.Manager})}, nil
}

// closeIdle closes the unused connections to a peer that did not answer a call. They are likely
// to be silent too, and each of them would fail one more request.
func (c *Client) closeIdle(to netip.AddrPort) {
	for _, p := range []*drpcpool.Pool[netip.AddrPort, drpcpool.Conn]{c.forwardPool, c.controlPool} {
		for conn, ok := p.Take(to); ok; conn, ok = p.Take(to) {
			_ = conn.Close()
		}
	}
}

// Renew asks a controller to extend leases.
func (c *Client) Renew(ctx context.Context, to netip.AddrPort, r control.RenewRequest) (control.RenewResponse, error) {
	return call(ctx, c, to, renewCall, encodeRenewRequest(r), decodeRenewResponse)
}

// Support asks a member to support a candidate or controller.
func (c *Client) Support(ctx context.Context, to netip.AddrPort, r control.SupportRequest) (control.SupportResponse, error) {
	return call(ctx, c, to, supportCall, encodeSupportRequest(r), decodeSupportResponse)
}

// Resign tells a member that its controller is stopping.
func (c *Client) Resign(ctx context.Context, to netip.AddrPort, r control.ResignRequest) error {
	_, err := call(ctx, c, to, resignCall, encodeResignRequest(r), decodeResignResponse)
	return err
}

// Sync exchanges platform objects, routing tables, members and suspects with a peer.
func (c *Client) Sync(ctx context.Context, to netip.AddrPort, r control.Sync) (control.Sync, error) {
	return call(ctx, c, to, syncCall, encodeSync(r), decodeSync)
}

// call makes one unary call on a control connection.
func call[WireIn, WireOut, Out any](ctx context.Context, c *Client, to netip.AddrPort, name string, in *WireIn, decode func(*WireOut) Out) (Out, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out WireOut
	if err := c.controlPool.Get(ctx, to, c.dial).Invoke(ctx, name, rpc.Encoding{}, in, &out); err != nil {
		if rpc.TimedOut(ctx) {
			c.closeIdle(to)
		}
		var zero Out
		return zero, fmt.Errorf("peer: call %s at %s: %w", name, to, err)
	}
	return decode(&out), nil
}

// Forward sends a request to the leaseholder of its key and returns the response, whose body
// must be closed.
func (c *Client) Forward(ctx context.Context, to netip.AddrPort, r *exchange.Request) *exchange.Response {
	ctx, cancelDeadline := context.WithDeadline(ctx, r.Deadline)
	ctx, cancelWithCause := context.WithCancelCause(ctx)
	cancel := func() {
		cancelWithCause(nil)
		cancelDeadline()
	}
	stream, err := c.forwardPool.Get(ctx, to, c.dial).NewStream(ctx, forwardCall, rpc.Encoding{})
	if err != nil {
		// The request is in the first message of the stream, which was not sent, so it has not
		// been run. A pooled connection can be unusable because an earlier call on it was cancelled.
		cancel()
		response := exchange.NotRunResponse(http.StatusServiceUnavailable, "the leaseholder cannot be reached")
		response.Reroute = true
		return response
	}
	silenceTimer := time.AfterFunc(silenceTimeout, func() { cancelWithCause(errSilent) })
	defer silenceTimer.Stop()
	response, err := forwardOnStream(stream, r, silenceTimer, cancel)
	if err != nil {
		if rpc.TimedOut(ctx) {
			c.closeIdle(to)
		}
		_ = stream.Close()
		cancel()
		return unknownOutcomeResponse(err)
	}
	return response
}

// unknownOutcomeResponse returns the response for an error after the request was sent.
func unknownOutcomeResponse(err error) *exchange.Response {
	if errors.Is(err, context.DeadlineExceeded) {
		return exchange.UnknownOutcomeResponse(http.StatusGatewayTimeout, "the leaseholder did not answer in time")
	}
	return exchange.UnknownOutcomeResponse(http.StatusBadGateway, "the connection to the leaseholder broke")
}

// forwardOnStream sends a request on a stream and returns the response, whose body owns the
// stream. Each message that arrives resets the timer that ends a silent call.
func forwardOnStream(stream drpc.Stream, r *exchange.Request, silenceTimer *time.Timer, cancel context.CancelFunc) (*exchange.Response, error) {
	if err := stream.MsgSend(encodeRequest(time.Now(), r), rpc.Encoding{}); err != nil {
		return nil, fmt.Errorf("peer: send request: %w", err)
	}
	for {
		var w wireResponse
		if err := stream.MsgRecv(&w, rpc.Encoding{}); err != nil {
			return nil, fmt.Errorf("peer: receive response: %w", err)
		}
		silenceTimer.Reset(silenceTimeout)
		if w.KeepAlive {
			continue
		}
		if w.Continue {
			go sendRestOfBody(stream, r.BodyRest)
			continue
		}
		response := decodeResponse(time.Now(), &w)
		response.Body = &responseBody{stream: stream, cancel: cancel, data: w.Data, last: w.Last}
		return response, nil
	}
}

// sendRestOfBody sends what follows the prefix of a request body. It returns no error, because
// the response is then missing or fails.
func sendRestOfBody(stream drpc.Stream, rest io.Reader) {
	buffer := chunkBuffers.Get().(*[]byte)
	defer chunkBuffers.Put(buffer)
	_ = sendChunks(stream, rest, *buffer)
}
