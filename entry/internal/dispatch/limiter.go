package dispatch

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/requestlimit"
)

// Limiter limits the requests that run on each server at a time to the slots of the server.
type Limiter interface {
	// Acquire waits for a slot of a server. An error means that none is available in time.
	Acquire(ctx context.Context, r SlotRequest) (Slot, error)
	// ExpectedWait returns the estimated time that Acquire would wait.
	ExpectedWait(r SlotRequest) time.Duration
}

// Placer selects the server of a request together with its slot. A Limiter that implements it is used for
// services whose requests may run on any of their servers.
type Placer interface {
	// Place waits for a slot of the server on which the request is expected to end first. It returns
	// ErrNoPool if it can't select a server, and a *RefusalError if no slot is available in time.
	Place(ctx context.Context, r PlaceRequest) (Slot, registry.Instance, error)
}

// ErrNoPool means that a Placer can't select a server.
var ErrNoPool = eris.New("dispatch: no process can select a server")

// PlaceRequest describes a request that may run on any server of a service.
type PlaceRequest struct {
	Service string
	// Rank, Arrived, Objective and Deadline are as in SlotRequest.
	Rank      int
	Arrived   time.Time
	Objective time.Time
	Deadline  time.Time
	// Excluded are the identifiers of servers that must not be selected, and Warm those of servers to which
	// there is an open connection that the request may use.
	Excluded []string
	Warm     []string
	// Large is true if the transfer of the body between data centres has a price.
	Large bool
}

// SlotRequest describes a request that needs a slot of a server.
type SlotRequest struct {
	Server registry.Server
	// Rank is the priority of the request; 0 is the most urgent.
	Rank int
	// Arrived is when this process received the request.
	Arrived time.Time
	// Objective is the time until which the response has its full value, and Deadline the time
	// after which it has none.
	Objective time.Time
	Deadline  time.Time
}

// Slot is the permission to send one request to a server.
type Slot interface {
	// Release returns the slot with what the request has shown about the server.
	Release(o Outcome)
}

// RefusalError is returned by a Limiter that has no slot in time.
type RefusalError struct {
	// RetryAt is when a slot may be requested again.
	RetryAt time.Time
	// OverLimit is true if the server takes no more requests in a second; Limit is then what it has named.
	OverLimit bool
	Limit     requestlimit.Limit
}

// Error implements error.
func (e *RefusalError) Error() string { return "dispatch: no slot of the server is available in time" }
