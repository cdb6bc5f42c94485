package dispatch

import (
	"net"
	"sync"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/origin"
	"bramleystand.org/entry/internal/view"
)

// maxConnections bounds the connections that one process opens to a server. A server accepts
// about 110 from all processes together.
const maxConnections = 24

const (
	// maxIdle is the largest number of idle connections that one process keeps to a server.
	maxIdle = 8
	// idlePercent is the percentage of a server's connections that may be idle, of all processes together.
	// The rest is left for requests that open a new one.
	idlePercent = 75
)

// idleShare returns the idle connections to a server that each process may keep, at least one: a server
// has as many connections as its service states, or an unlimited number if that is zero.
func idleShare(connections, processes int) int {
	if connections == 0 || processes == 0 {
		return maxIdle
	}
	return min(max(1, connections*idlePercent/100/processes), maxIdle)
}

// backends holds one backend for each known server.
type backends struct {
	dialer origin.Dialer
	fields origin.HeaderFields

	mu         sync.Mutex
	byInstance map[registry.Instance]*backend
	// pruned is the list of servers by which backends were last removed.
	pruned *view.Servers
}

func newBackends(d origin.Dialer, f origin.HeaderFields) *backends {
	return &backends{dialer: d, fields: f, byInstance: make(map[registry.Instance]*backend)}
}

// get returns the backend of a server, which keeps at most the given number of idle connections. When the list of servers has changed since the last
// call, it first closes and removes the backends of servers that are no longer known.
func (b *backends) get(servers *view.Servers, s registry.Server, idle int) *backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pruned != servers {
		b.pruned = servers
		for inst, old := range b.byInstance {
			if !servers.IsTracked(inst) {
				old.client.Close()
				delete(b.byInstance, inst)
			}
		}
	}
	k := b.byInstance[s.Instance]
	if k == nil || k.server.Address != s.Address {
		k = &backend{server: s, client: origin.New(s.Address, maxConnections, b.dialer, b.fields)}
		b.byInstance[s.Instance] = k
	}
	k.client.SetMaxIdle(idle)
	return k
}

// find returns the backend of a server, or nil if no request has been sent to it.
func (b *backends) find(inst registry.Instance) *backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byInstance[inst]
}

var _ origin.Dialer = (*net.Dialer)(nil)
