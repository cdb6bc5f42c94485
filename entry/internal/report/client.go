package report

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"bramleystand.org/entry/internal/rpc"
)

const (
	// callTimeout limits a call. The latency between data centres is 1.5 ms.
	callTimeout = 400 * time.Millisecond
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 10 * time.Second
	// maxIdleConnections limits the unused connections to one process.
	maxIdleConnections = 2
)

// Dialer opens connections; *net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls other entry processes over pooled connections. It is safe for concurrent use.
type Client struct {
	dialer Dialer
	pool   *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
}

// NewClient returns a client that opens its connections with the dialer on demand.
func NewClient(d Dialer) *Client {
	return &Client{dialer: d, pool: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdleConnections})}
}

// Close closes the idle connections.
func (c *Client) Close() error {
	if err := c.pool.Close(); err != nil {
		return fmt.Errorf("report: close connections: %w", err)
	}
	return nil
}

// Dial opens a connection that is not pooled, for the streams of other protocols.
func (c *Client) Dial(ctx context.Context, to netip.AddrPort) (drpcpool.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, fmt.Errorf("report: connect to %s: %w", to, err)
	}
	return &rpc.Conn{Conn: drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: rpc.Manager})}, nil
}

// Report sends a report to the coordinator.
func (c *Client) Report(ctx context.Context, to netip.AddrPort, r Report) (Response, error) {
	var w wireResponse
	if err := c.invoke(ctx, to, reportMethod, encodeReport(time.Now(), r), &w); err != nil {
		return Response{}, err
	}
	return decodeResponse(&w), nil
}

// Snapshot returns the copies of the store's objects that another process has.
func (c *Client) Snapshot(ctx context.Context, to netip.AddrPort) ([]Object, error) {
	var w wireObjects
	if err := c.invoke(ctx, to, snapshotMethod, &wireSnapshotRequest{}, &w); err != nil {
		return nil, err
	}
	return decodeObjects(&w), nil
}

// StepDown asks a former coordinator to send no more orders to backend servers, and tells another process
// who the coordinator is.
func (c *Client) StepDown(ctx context.Context, to netip.AddrPort, request StepDown) (StepDownResponse, error) {
	var w wireStepDownResponse
	if err := c.invoke(ctx, to, stepDownMethod, encodeStepDown(request), &w); err != nil {
		return StepDownResponse{}, err
	}
	return StepDownResponse{Incarnation: w.Instance, Stopped: w.Stopped}, nil
}

func (c *Client) invoke(ctx context.Context, to netip.AddrPort, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.pool.Get(ctx, to, c.Dial).Invoke(ctx, method, rpc.Encoding{}, in, out)
	if err == nil {
		return nil
	}
	if rpc.TimedOut(ctx) {
		// The other idle connections to the process are likely to be unresponsive too.
		for idle, ok := c.pool.Take(to); ok; idle, ok = c.pool.Take(to) {
			_ = idle.Close()
		}
	}
	return fmt.Errorf("report: call %s at %s: %w", method, to, err)
}

// Follow subscribes to the updates of the coordinator and passes them to the handler. It returns when no
// update has arrived within the timeout, when the handler fails or when the stream ends.
func (c *Client) Follow(ctx context.Context, to netip.AddrPort, request FollowRequest, timeout time.Duration, handle func(Update) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(timeout, cancel)
	defer watchdog.Stop()
	conn, err := c.Dial(ctx, to)
	if err != nil {
		return err
	}
	defer conn.Close()
	stream, err := conn.NewStream(ctx, followMethod, rpc.Encoding{})
	if err != nil {
		return fmt.Errorf("report: follow %s: %w", to, err)
	}
	if err := stream.MsgSend(encodeFollowRequest(request), rpc.Encoding{}); err != nil {
		return fmt.Errorf("report: follow %s: %w", to, err)
	}
	for {
		var w wireUpdate
		if err := stream.MsgRecv(&w, rpc.Encoding{}); err != nil {
			return fmt.Errorf("report: follow %s: %w", to, err)
		}
		watchdog.Reset(timeout)
		if err := handle(decodeUpdate(time.Now(), &w)); err != nil {
			return fmt.Errorf("report: follow %s: %w", to, err)
		}
	}
}
