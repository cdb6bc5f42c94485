package dialer

import (
	"context"
	"fmt"
	"net"
)

// ResetOnClose opens connections that are reset when they are closed. Otherwise the kernel would keep
// sending the data of a call that has been given up, and the call could still reach the other side
// after a network partition ends.
type ResetOnClose struct {
	*net.Dialer
}

// DialContext opens a connection that is reset when it is closed.
func (d *ResetOnClose) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dialer: %w", err)
	}
	if t, ok := c.(*net.TCPConn); ok {
		if err := t.SetLinger(0); err != nil {
			_ = c.Close()
			return nil, fmt.Errorf("dialer: set SO_LINGER to 0: %w", err)
		}
	}
	return c, nil
}
