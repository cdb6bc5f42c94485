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
	// callTimeout bounds a call; data centres are 1.5 ms apart.
	callTimeout = 400 * time.Millisecond
	// idleTimeout closes unused connections.
	idleTimeout = 10 * time.Second
	// idleConnections is the most unused connections kept for one process.
	idleConnections = 2
)

// Dialer opens connections; *net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls other entry processes over pooled connections.
type Client struct {
	dialer Dialer
	pool   *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
}

// NewClient returns a client without connections.
func NewClient(d Dialer) *Client {
	return &Client{dialer: d, pool: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: idleConnections})}
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
	opened, err := c.dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, fmt.Errorf("report: connect to %s: %w", to, err)
	}
	return &rpc.Conn{Conn: drpcconn.NewWithOptions(opened, drpcconn.Options{Manager: rpc.Manager})}, nil
}

// Report sends a report to the coordinator.
func (c *Client) Report(ctx context.Context, to netip.AddrPort, r Report) (Answer, error) {
	var w wireAnswer
	if err := c.call(ctx, to, reportCall, encodeReport(r), &w); err != nil {
		return Answer{}, err
	}
	return decodeAnswer(&w), nil
}

// Snapshot asks a process for what it knows of the store.
func (c *Client) Snapshot(ctx context.Context, to netip.AddrPort) ([]Object, error) {
	var w wireObjects
	if err := c.call(ctx, to, snapshotCall, &wireQuery{}, &w); err != nil {
		return nil, err
	}
	return decodeObjects(&w), nil
}

// Yield asks a former coordinator to stop.
func (c *Client) Yield(ctx context.Context, to netip.AddrPort, y Yield) (Yielded, error) {
	var w wireYielded
	if err := c.call(ctx, to, yieldCall, &wireYield{Term: y.Term}, &w); err != nil {
		return Yielded{}, err
	}
	return Yielded{Incarnation: w.Life, Stopped: w.Stopped}, nil
}

func (c *Client) call(ctx context.Context, to netip.AddrPort, name string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.pool.Get(ctx, to, c.Dial).Invoke(ctx, name, rpc.Encoding{}, in, out)
	if err == nil {
		return nil
	}
	if rpc.IsUnanswered(ctx) {
		// Connections that were opened before are likely to be silent too.
		for unused, ok := c.pool.Take(to); ok; unused, ok = c.pool.Take(to) {
			_ = unused.Close()
		}
	}
	return fmt.Errorf("report: call %s at %s: %w", name, to, err)
}

// Follow passes the updates of the coordinator on until one is overdue or can't be used, or the
// stream ends. The marks tell what the process has already.
func (c *Client) Follow(ctx context.Context, to netip.AddrPort, marks []Mark, silence time.Duration, take func(Update) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	overdue := time.AfterFunc(silence, cancel)
	defer overdue.Stop()
	conn, err := c.Dial(ctx, to)
	if err != nil {
		return err
	}
	defer conn.Close()
	stream, err := conn.NewStream(ctx, followCall, rpc.Encoding{})
	if err != nil {
		return fmt.Errorf("report: follow %s: %w", to, err)
	}
	if err := stream.MsgSend(&wireFollow{Marks: encodeMarks(marks)}, rpc.Encoding{}); err != nil {
		return fmt.Errorf("report: follow %s: %w", to, err)
	}
	for {
		var w wireUpdate
		if err := stream.MsgRecv(&w, rpc.Encoding{}); err != nil {
			return fmt.Errorf("report: follow %s: %w", to, err)
		}
		overdue.Reset(silence)
		if err := take(decodeUpdate(&w)); err != nil {
			return fmt.Errorf("report: follow %s: %w", to, err)
		}
	}
}
