package gatewayprocess

import (
	"fmt"
	"net/http"
	"syscall"

	"bramleystand.org/common/gatewaysettings"
	"bramleystand.org/entry/internal/bodybudget"
	"bramleystand.org/entry/internal/boundedlistener"
	"bramleystand.org/entry/internal/bounds"
	"bramleystand.org/entry/internal/httpserver"
	"bramleystand.org/entry/internal/operator"
)

// newBounds returns the bounds for the VM that the settings describe.
func newBounds(s gatewaysettings.Settings) (bounds.Bounds, error) {
	var allowed syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &allowed); err != nil {
		return bounds.Bounds{}, fmt.Errorf("gatewayprocess: read the limit of file descriptors: %w", err)
	}
	descriptors := int(min(allowed.Cur, maxKnownDescriptors))
	if s.Descriptors > 0 {
		descriptors = min(descriptors, s.Descriptors)
	}
	b, err := bounds.New(s.MemoryLimit, descriptors)
	if err != nil {
		return bounds.Bounds{}, fmt.Errorf("gatewayprocess: %w", err)
	}
	return b, nil
}

// maxKnownDescriptors stands for a limit of the operating system that is higher or infinite.
const maxKnownDescriptors = 1 << 20

// newServers builds the servers for clients, readiness checks and operators, and limits the connections of
// peers.
func (p *Process) newServers() {
	admin := operator.New(func() any { return p.Dump() }, map[string]operator.Query{"/where": p.where}, p.logger)
	checkLimits := func() httpserver.Limits {
		return httpserver.Limits{
			HeadBytes: maxCheckHead, HeadTimeout: headerTimeout, IdleTimeout: checkIdleTimeout, WriteTimeout: headerTimeout, Connections: p.bounds.Checks(),
		}
	}
	heads := bodybudget.New(p.bounds.Heads())
	p.clientServer = httpserver.New(p.clients, p.handler, p.clientLimits, heads, bodybudget.New(p.bounds.Ahead()), p.logger.WithField("port", "clients"))
	p.readyServer = httpserver.New(p.ready, inOrder{http.HandlerFunc(p.serveReady)}, checkLimits, heads, nil, p.logger.WithField("port", "ready"))
	p.adminServer = httpserver.New(p.admin, inOrder{admin.Filter(http.NotFoundHandler())}, checkLimits, heads, nil, p.logger.WithField("port", "admin"))
	p.peerListener = boundedlistener.New(p.peering, p.bounds.Peers(), firstMessageTimeout)
}

// clientLimits returns the limits for clients that the configuration in force states.
func (p *Process) clientLimits() httpserver.Limits {
	l := httpserver.Limits{HeadBytes: maxHeaderBytes, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout, Connections: p.bounds.Clients()}
	if c := p.view.Configuration(); c != nil {
		l.HeadBytes = min(l.HeadBytes, c.Limits.HeaderBytes)
		l.HeadTimeout, l.IdleTimeout = c.Limits.HeaderTimeout, c.Limits.IdleTimeout
	}
	return l
}

// inOrder handles the requests of a connection one after the other.
type inOrder struct{ http.Handler }

// AllowsAhead implements httpserver.Handler.
func (inOrder) AllowsAhead(*http.Request) bool { return false }
