// Package reach finds out which backend servers this process reaches.
//
// A server counts as reached if it accepts a connection and leaves it open for a moment. A path that is
// cut may refuse a connection, leave it without an answer, or reset it right after it was opened. Nothing
// is sent, because a request would wait for one of the server's slots.
//
// # Usage
//
//	p := reach.New(dialer)
//	reached := p.Probe(ctx, addresses)
package reach

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

const (
	// probeTimeout bounds the attempt to connect. The latency between data centres is 1.5 ms.
	probeTimeout = 250 * time.Millisecond
	// resetDelay is how long a connection must stay open.
	resetDelay = 20 * time.Millisecond
)

// Dialer opens connections; *net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Prober opens connections to servers. It is safe for concurrent use.
type Prober struct {
	dialer Dialer
}

// New returns a prober.
func New(d Dialer) *Prober { return &Prober{dialer: d} }

// Probe returns for each address whether the server there is reached. It takes a quarter of a second if
// one is silent.
func (p *Prober) Probe(ctx context.Context, addresses []netip.AddrPort) []bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reached := make([]bool, len(addresses))
	var group sync.WaitGroup
	for i, a := range addresses {
		group.Go(func() { reached[i] = p.reaches(ctx, a) })
	}
	group.Wait()
	return reached
}

// reaches reports whether a server keeps a connection open.
func (p *Prober) reaches(ctx context.Context, address netip.AddrPort) bool {
	c, err := p.dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return false
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(resetDelay)); err != nil {
		return false
	}
	_, err = c.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}
