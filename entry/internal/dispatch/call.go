package dispatch

import (
	"net/http"
	"sync/atomic"
	"time"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/bodybudget"
)

// Call is a client request that is to be sent to a backend server.
type Call struct {
	ID     string
	Method string
	// Target is the path and query exactly as the client sent them.
	Target  string
	Host    string
	Header  http.Header
	Body    []byte
	HasBody bool
	// Key is the key of the request; HasKey is false if it names none.
	Key    keyspace.Key
	HasKey bool
	Route  *traffic.Route
	// Service is the service selected by the weights of the route.
	Service string
	Arrived time.Time
	// Deadline is the latest time for the final response to the client.
	Deadline time.Time
	// Memory is where the memory for the bodies of responses is reserved; nil for no limit.
	Memory *bodybudget.Account

	progress atomic.Pointer[Progress]
}

// objective returns the time by which the client must have the response to meet the latency
// objective of its route.
func (c *Call) objective() time.Time { return c.Arrived.Add(c.Route.Objective) }

// slotRequest returns the request for a slot of a server.
func (c *Call) slotRequest(s registry.Server) SlotRequest {
	return SlotRequest{Server: s, Rank: c.Route.Rank, Arrived: c.Arrived, Objective: c.objective(), Deadline: c.Deadline}
}
