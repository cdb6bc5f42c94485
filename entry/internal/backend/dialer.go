package backend

import (
	"context"
	"fmt"
	"net"
	"time"
)

// Dialer opens connections; *net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// dial opens a connection once fewer than maxParallelDials are being opened.
func (c *Client) dial(ctx context.Context) (*conn, error) {
	select {
	case c.dialPermits <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("backend: wait to open a connection: %w", ctx.Err())
	}
	defer func() { <-c.dialPermits }()
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(dialTimeout))
	defer cancel()
	netConn, err := c.dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, fmt.Errorf("backend: connect: %w", err)
	}
	return newConn(netConn), nil
}
