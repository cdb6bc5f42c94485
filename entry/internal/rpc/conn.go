package rpc

import (
	"context"
	"errors"

	"storj.io/drpc"
	"storj.io/drpc/drpcpool"
)

// Conn closes its connection when a call on it gets no response in time. Otherwise a pool
// would reuse the connection, and calls on a connection that has gone silent would fail
// until it is closed, although new connections work.
type Conn struct {
	drpcpool.Conn
}

// Invoke implements drpc.Conn.
func (c *Conn) Invoke(ctx context.Context, rpcName string, enc drpc.Encoding, in, out drpc.Message) error {
	err := c.Conn.Invoke(ctx, rpcName, enc, in, out)
	if TimedOut(ctx) {
		_ = c.Close()
	}
	return err
}

// NewStream implements drpc.Conn.
func (c *Conn) NewStream(ctx context.Context, rpcName string, enc drpc.Encoding) (drpc.Stream, error) {
	stream, err := c.Conn.NewStream(ctx, rpcName, enc)
	if err == nil {
		context.AfterFunc(ctx, func() {
			if TimedOut(ctx) {
				_ = c.Close()
			}
		})
	}
	return stream, err
}

// TimedOut reports whether a call's context ended because of its deadline or because
// the other end went silent. It returns false if the call completed or was cancelled.
func TimedOut(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.Canceled)
}
