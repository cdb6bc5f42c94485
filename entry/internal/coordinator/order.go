package coordinator

import (
	"time"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/keyspace"
	"bramleystand.org/entry/internal/ownership"
)

// Order is a call to a backend server that the caller of the package must make.
type Order struct {
	Number uint64
	// Release revokes the keys; otherwise the order grants them.
	Release bool
	// FenceOnly grants expire at once and only raise the server's fence.
	FenceOnly bool
	Server    ownership.Server
	Keys      keyspace.Range
	Fence     fence.Fence
	// Handover is the data that the last holder returned with its release for the next one.
	Handover string
	// Connection is the number of the connection on which the server has accepted a grant with the same
	// fence, or zero for a new fence, which may go out on any connection. A fence must not reach a later
	// life of the server, and a connection ends with the process at its other end.
	Connection uint64
	// SendBy is the latest time at which the order may be sent. A grant sent later would run for
	// longer than the coordinator assumes.
	SendBy time.Time
}

// Result is the outcome of an order.
type Result struct {
	Number   uint64
	Handover string
	// Connection is the number of the connection on which a grant was accepted.
	Connection uint64
	// ConnectionEnded is true if the order was not sent because its connection has ended or is in use. It
	// says nothing about the server.
	ConnectionEnded bool
	// Fenced is true if the server has seen a higher fence.
	Fenced bool
	// Misdirected is true if another instance listens at the server's address and has refused the order.
	Misdirected bool
	// Unsent is true if the server can't have received the order.
	Unsent bool
	// Expired is true if the order was not sent in time. It says nothing about the server.
	Expired bool
	Err     error
}

// pending is an order whose result is not known yet.
type pending struct {
	rangeState *rangeState
	holder     *holder
	order      Order
	// heldBefore is the holder's heldUntil from before the order, which applies if the order was
	// not sent.
	heldBefore time.Time
	issuedAt   time.Time
}
