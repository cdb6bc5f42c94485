package coordinator

import (
	"time"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/keyspace"
	"bramleystand.org/entry/internal/ownership"
)

// Order is a call to a backend server that the coordinator wants to be made.
type Order struct {
	Number uint64
	// Release takes the keys back; otherwise the order grants them.
	Release bool
	// Brief grants lapse at once; they only raise the fence.
	Brief  bool
	Server ownership.Server
	Keys   keyspace.Range
	Fence  fence.Fence
	// Handover is what the last holder left for the next one.
	Handover string
	// SendBy is when the order may be sent at the latest; a grant that is sent later would run
	// for longer than its coordinator counts on.
	SendBy time.Time
}

// Result is what became of an order.
type Result struct {
	Number   uint64
	Handover string
	// Fenced is true if the server has seen a higher fence.
	Fenced bool
	// Unsent is true if the server can't have got the order.
	Unsent bool
	// Stale is true if the order was not sent because its time was over; it says nothing of the server.
	Stale bool
	Err   error
}

// pending is an order that is under way.
type pending struct {
	share  *share
	holder *holder
	order  Order
	// heldBefore is until when the server held the keys if the order was not sent.
	heldBefore time.Time
}
