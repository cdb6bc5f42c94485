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
)

const (
	// dialTimeout bounds connecting; data centres are 1.5 ms apart.
	dialTimeout = 250 * time.Millisecond
	// callTimeout bounds a control call, so that a silent connection costs one
	// heartbeat and is then replaced.
	callTimeout = 300 * time.Millisecond
	// idleTimeout closes unused connections.
	idleTimeout = time.Minute
	// idleConnections is the most unused connections kept for one peer.
	idleConnections = 128
)

// errDial marks failures before anything was sent.
var errDial = errors.New("peer: no connection")

// Client calls other entry processes over pooled connections.
type Client struct {
	pool    *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
	control *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
}

// NewClient returns a client without connections.
func NewClient() *Client {
	options := drpcpool.Options{Expiration: idleTimeout, KeyCapacity: idleConnections}
	return &Client{
		pool: drpcpool.New[netip.AddrPort, drpcpool.Conn](options),
		// Control calls have connections of their own, so that they never wait for bodies.
		control: drpcpool.New[netip.AddrPort, drpcpool.Conn](options),
	}
}

// Close closes all idle connections.
func (c *Client) Close() error {
	if err := errors.Join(c.pool.Close(), c.control.Close()); err != nil {
		return fmt.Errorf("peer: close connections: %w", err)
	}
	return nil
}

func dial(ctx context.Context, address netip.AddrPort) (drpcpool.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDial, err)
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: softCancel}), nil
}

// Renew asks a controller to extend leases.
func (c *Client) Renew(ctx context.Context, to netip.AddrPort, r control.RenewRequest) (control.RenewResponse, error) {
	return call(ctx, c, to, renewCall, encodeRenewRequest(r), decodeRenewResponse)
}

// Support asks a member for its support.
func (c *Client) Support(ctx context.Context, to netip.AddrPort, r control.SupportRequest) (control.SupportResponse, error) {
	return call(ctx, c, to, supportCall, encodeSupportRequest(r), decodeSupportResponse)
}

// Resign tells a member that its controller stops.
func (c *Client) Resign(ctx context.Context, to netip.AddrPort, r control.ResignRequest) error {
	_, err := call(ctx, c, to, resignCall, encodeResignRequest(r), decodeResignResponse)
	return err
}

// Sync exchanges configuration, tables and members with a peer.
func (c *Client) Sync(ctx context.Context, to netip.AddrPort, r control.Sync) (control.Sync, error) {
	return call(ctx, c, to, syncCall, encodeSync(r), decodeSync)
}

// call makes one unary call on a control connection.
func call[WireIn, WireOut, Out any](ctx context.Context, c *Client, to netip.AddrPort, name string, in *WireIn, decode func(*WireOut) Out) (Out, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out WireOut
	if err := c.control.Get(ctx, to, dial).Invoke(ctx, name, encoding{}, in, &out); err != nil {
		var none Out
		return none, fmt.Errorf("peer: call %s at %s: %w", name, to, err)
	}
	return decode(&out), nil
}

// Forward sends a request to the leaseholder of its key.
func (c *Client) Forward(ctx context.Context, to netip.AddrPort, r *exchange.Request) *exchange.Response {
	ctx, cancelCause := context.WithCancelCause(ctx)
	ctx, cancelDeadline := context.WithDeadline(ctx, r.Deadline)
	cancel := func() {
		cancelDeadline()
		cancelCause(nil)
	}
	stream, err := c.pool.Get(ctx, to, dial).NewStream(ctx, forwardCall, encoding{})
	if err != nil {
		if errors.Is(err, errDial) {
			cancel()
			response := exchange.Refuse(http.StatusServiceUnavailable, "the leaseholder cannot be reached")
			response.Moved = true
			return response
		}
		response := unsure(ctx, err)
		cancel()
		return response
	}
	silent := time.AfterFunc(silentAfter, func() { cancelCause(errSilent) })
	response, err := exchangeOn(stream, r, silent, cancel)
	silent.Stop()
	if err != nil {
		response = unsure(ctx, err)
		cancel()
		_ = stream.Close()
	}
	return response
}

func unsure(ctx context.Context, err error) *exchange.Response {
	if errors.Is(context.Cause(ctx), errSilent) {
		return exchange.Unsure(http.StatusBadGateway, "the connection to the leaseholder went silent")
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return exchange.Unsure(http.StatusGatewayTimeout, "the leaseholder did not answer in time")
	}
	return exchange.Unsure(http.StatusBadGateway, "the connection to the leaseholder broke")
}

// exchangeOn sends a request on a stream and returns its answer, whose body owns the stream.
func exchangeOn(stream drpc.Stream, r *exchange.Request, silent *time.Timer, cancel context.CancelFunc) (*exchange.Response, error) {
	if err := stream.MsgSend(encodeRequest(time.Now(), r), encoding{}); err != nil {
		return nil, fmt.Errorf("peer: send request: %w", err)
	}
	for {
		var w wireResponse
		if err := stream.MsgRecv(&w, encoding{}); err != nil {
			return nil, fmt.Errorf("peer: receive answer: %w", err)
		}
		silent.Reset(silentAfter)
		if w.Working {
			continue
		}
		if w.Proceed {
			go sendRest(stream, r.Rest)
			continue
		}
		response := decodeResponse(time.Now(), &w)
		response.Body = &responseBody{stream: stream, cancel: cancel, data: w.Data, last: w.Last}
		return response, nil
	}
}

// sendRest sends what follows the prefix of a request body. Its errors surface as
// a missing answer.
func sendRest(stream drpc.Stream, rest io.Reader) {
	buffer := pieces.Get().(*[]byte)
	defer pieces.Put(buffer)
	_ = sendPieces(stream, rest, *buffer)
}
