// Package bounds divides the memory and the file descriptors of a VM among what its entry process holds for
// clients, servers and peers.
//
// Clients are not under control, so each part has a bound from which it is reserved before it is taken. The
// parts grow with the VM. Their sum, with what an idle process takes, is below what the VM has.
//
// # Usage
//
//	b, err := bounds.New(memory, descriptors)
//	if err != nil {
//		return fmt.Errorf("entry: %w", err)
//	}
//	bodies := bodybudget.New(b.Bodies(configuration.Limits.BodyBytes))
package bounds

import (
	"fmt"
)

const (
	megabyte = 1 << 20
	// idleMemory is what a process takes without any request: its code, the copy of the store and the tables
	// of a large deployment.
	idleMemory = 20 * megabyte
	// bodiesDivisor sets the part of the memory for request bodies.
	bodiesDivisor = 4
	// bodySlack is what a body of the largest legal size takes beside itself while its buffer grows.
	bodySlack = 4*megabyte + 64<<10
	// responsesDivisor, headsDivisor, relayedDivisor and connectionsDivisor set the parts for response bodies,
	// heads of requests, bodies of calls that peers relay, and connections of clients.
	responsesDivisor   = 7
	headsDivisor       = 24
	relayedDivisor     = 12
	connectionsDivisor = 10
	// aheadDivisor sets the part for requests that are handled beside earlier ones of their connection, of the memory
	// beyond aheadBase, and minAheadDivisor the least part: a small VM keeps its memory for bodies.
	aheadDivisor    = 24
	aheadBase       = 96 * megabyte
	minAheadDivisor = 192
	maxResponses    = 32 * megabyte
	maxRelayed      = 24 * megabyte
	// connectionMemory is what a connection of a client takes: two buffers, a goroutine and the kernel's part.
	connectionMemory = 20 << 10
	// clientsPercent is the percentage of the descriptors for connections of clients, and checksPercent and
	// peersPercent those for connections of readiness checks and operators, each, and of peers. The rest is left
	// for connections to servers, peers and the store.
	clientsPercent = 50
	checksPercent  = 4
	peersPercent   = 15
	// minDescriptors leaves some descriptors for each part.
	minDescriptors = 128
)

// Bounds are the parts of one VM.
type Bounds struct {
	memory      int64
	descriptors int
}

// New returns the bounds for a VM with the given memory in bytes and number of file descriptors. It returns an error
// if the parts don't fit in.
func New(memory int64, descriptors int) (Bounds, error) {
	b := Bounds{memory: memory, descriptors: descriptors}
	if sum := b.sum(); sum > memory {
		return Bounds{}, fmt.Errorf("bounds: memory is %d MB, the bounds of the process take %d MB", memory/megabyte, sum/megabyte)
	}
	if descriptors < minDescriptors {
		return Bounds{}, fmt.Errorf("bounds: %d file descriptors are allowed, the process needs at least %d", descriptors, minDescriptors)
	}
	return b, nil
}

// sum returns the memory of all parts with that of an idle process.
func (b Bounds) sum() int64 {
	return idleMemory + b.memory/bodiesDivisor + b.Responses() + b.Heads() + b.Relayed() + b.Ahead() + b.memory/connectionsDivisor
}

// Bodies returns the bytes for the bodies of requests: a part of the memory, or what one body of the largest legal
// size takes if that is more and the other parts leave it.
func (b Bounds) Bodies(largest int64) int64 {
	part := b.memory / bodiesDivisor
	return max(part, min(largest+bodySlack, part+b.memory-b.sum()))
}

// Responses returns the bytes for the bodies and large heads of responses.
func (b Bounds) Responses() int64 { return min(maxResponses, b.memory/responsesDivisor) }

// Heads returns the bytes for the heads of requests, at what they cost in memory.
func (b Bounds) Heads() int64 { return b.memory / headsDivisor }

// Relayed returns the bytes for the calls that other processes relay through this one.
func (b Bounds) Relayed() int64 { return min(maxRelayed, b.memory/relayedDivisor) }

// Ahead returns the bytes for requests that are handled beside earlier ones of their connection: for the parts of their
// heads and responses that are too small to be reserved elsewhere, because other connections hold only one of them.
func (b Bounds) Ahead() int64 {
	return max(b.memory/minAheadDivisor, (b.memory-aheadBase)/aheadDivisor)
}

// Clients returns the number of connections of clients.
func (b Bounds) Clients() int {
	return min(b.descriptors*clientsPercent/100, int(b.memory/connectionsDivisor/connectionMemory))
}

// Checks returns the number of connections for readiness checks, and that for operators.
func (b Bounds) Checks() int { return b.descriptors * checksPercent / 100 }

// Peers returns the number of connections of other entry processes.
func (b Bounds) Peers() int { return b.descriptors * peersPercent / 100 }
