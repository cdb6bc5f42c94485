// Package serverprobe checks whether backend servers can be reached.
//
// # Usage
//
//	p := serverprobe.New(dialer, view)
//	err := p.Probe(ctx, server, exchange)
package serverprobe

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"bramleystand.org/common/registry"
	"bramleystand.org/common/traffic"
)

const (
	// dialTimeout bounds opening a connection; it is that of requests.
	dialTimeout = 300 * time.Millisecond
	// resetWait is the time in which a connection that is not accepted is reset. Data centres are 1.5 ms
	// apart, but the other side may be short of processor time.
	resetWait = 100 * time.Millisecond
	// answerTimeout is the time in which a server must begin to answer a health check.
	answerTimeout = 500 * time.Millisecond
	// defaultHealthPath is requested from servers of services that aren't configured.
	defaultHealthPath = "/"
)

// Dialer opens connections; *net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Configurations returns the configuration in force, or nil.
type Configurations interface {
	Configuration() *traffic.Configuration
}

// Prober probes servers over new connections. It is safe for concurrent use.
type Prober struct {
	dialer         Dialer
	configurations Configurations
}

// New returns a prober that finds the paths of health checks in the configuration.
func New(d Dialer, c Configurations) *Prober { return &Prober{dialer: d, configurations: c} }

// Probe opens a connection to a server. If exchange is true, the server must begin to answer a health check,
// whatever the answer is; otherwise it is enough that the connection is not reset.
func (p *Prober) Probe(ctx context.Context, s registry.Server, exchange bool) error {
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := p.dialer.DialContext(bounded, "tcp", s.Address.String())
	if err != nil {
		return fmt.Errorf("serverprobe: connect: %w", err)
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	if exchange {
		return p.exchange(c, s)
	}
	if err := c.SetReadDeadline(time.Now().Add(resetWait)); err != nil {
		return fmt.Errorf("serverprobe: set deadline: %w", err)
	}
	if _, err := c.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("serverprobe: new connection: %w", err)
	}
	return nil
}

// exchange sends a health check and reads the first byte of the answer.
func (p *Prober) exchange(c net.Conn, s registry.Server) error {
	path := defaultHealthPath
	if configuration := p.configurations.Configuration(); configuration != nil && configuration.Services[s.Service].HealthPath != "" {
		path = configuration.Services[s.Service].HealthPath
	}
	if err := c.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return fmt.Errorf("serverprobe: set deadline: %w", err)
	}
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, s.Address); err != nil {
		return fmt.Errorf("serverprobe: send health check: %w", err)
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return fmt.Errorf("serverprobe: receive answer: %w", err)
	}
	return nil
}
