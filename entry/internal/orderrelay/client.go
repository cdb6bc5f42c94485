package orderrelay

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcpool"

	"bramleystand.org/entry/internal/rpc"
)

const (
	// queryTimeout bounds a query, for which the other process connects to servers for up to 300 ms.
	queryTimeout = 400 * time.Millisecond
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 10 * time.Second
	// maxIdleConnections limits the unused connections to one process.
	maxIdleConnections = 4
)

var errWrongAnswer = eris.New("orderrelay: the answer is not for the servers of the query")

// Peers opens connections to other processes.
type Peers interface {
	Dial(ctx context.Context, to netip.AddrPort) (drpcpool.Conn, error)
}

// Client calls other entry processes over pooled connections. It is safe for concurrent use.
type Client struct {
	peers Peers
	pool  *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
}

// NewClient returns a client that opens its connections on demand.
func NewClient(p Peers) *Client {
	return &Client{peers: p, pool: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdleConnections})}
}

// Close closes the idle connections.
func (c *Client) Close() error {
	if err := c.pool.Close(); err != nil {
		return fmt.Errorf("orderrelay: close connections: %w", err)
	}
	return nil
}

// ErrNotReached means that no connection to the other process could be opened, so that it did not get the
// order.
var ErrNotReached = eris.New("orderrelay: process not reached")

// dial opens a connection to a process.
func (c *Client) dial(ctx context.Context, to netip.AddrPort) (drpcpool.Conn, error) {
	conn, err := c.peers.Dial(ctx, to)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotReached, err)
	}
	return conn, nil
}

// Send makes a process send an order to a server. An error that does not wrap ErrNotReached says nothing
// about what became of the order. The context bounds the call, which lasts for longer than the order's
// timeout if the other process is slow.
func (c *Client) Send(ctx context.Context, to netip.AddrPort, o Order) (Report, error) {
	var w wireReport
	if err := c.pool.Get(ctx, to, c.dial).Invoke(ctx, orderMethod, rpc.Encoding{}, encodeOrder(o), &w); err != nil {
		return Report{}, fmt.Errorf("orderrelay: order through %s: %w", to, err)
	}
	return decodeReport(&w), nil
}

// Query asks a process which servers it reaches.
func (c *Client) Query(ctx context.Context, to netip.AddrPort, q Query) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var w wireAnswer
	if err := c.pool.Get(ctx, to, c.dial).Invoke(ctx, queryMethod, rpc.Encoding{}, encodeQuery(q), &w); err != nil {
		return Answer{}, fmt.Errorf("orderrelay: query %s: %w", to, err)
	}
	if len(w.Reached) != len(q.Servers) {
		return Answer{}, fmt.Errorf("orderrelay: query %s: %w", to, errWrongAnswer)
	}
	return decodeAnswer(&w), nil
}
