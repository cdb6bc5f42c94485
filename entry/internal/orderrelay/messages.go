package orderrelay

import (
	"net/netip"
	"time"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/platform"
)

// Query asks which servers a process reaches.
type Query struct {
	Servers []netip.AddrPort
}

// Answer is the response to a query.
type Answer struct {
	// Reached says for each server of the query whether the process reaches it.
	Reached []bool
	// Clock is the responding process's clock.
	Clock Clock
}

// Clock is a reading of the boot clock of a process's VM.
type Clock struct {
	// Incarnation is the incarnation of the process. The clock of a VM that has booted again says nothing
	// about an earlier reading.
	Incarnation int64
	// SinceBoot is the time since the VM booted, including suspensions.
	SinceBoot time.Duration
}

// Order is a grant or release that another process sends.
type Order struct {
	To       platform.Recipient
	Release  bool
	Keys     keyspace.Range
	Fence    uint64
	Hold     time.Duration
	Handover string
	// SendBefore is the reading of the sending process's clock until which a grant may be sent. It does not
	// apply to a release.
	SendBefore Clock
	// Timeout bounds the call to the server.
	Timeout time.Duration
}

// Outcome is the result of an order.
type Outcome uint8

// Outcomes. The numbers are part of the protocol between entry processes.
const (
	// Unknown means that the server may or may not have executed the order.
	Unknown Outcome = iota
	// Executed means that the server has executed the order.
	Executed
	// NotSent means that the server can't have received the order.
	NotSent
	// Late means that the order was not sent, because its time had passed.
	Late
	// Fenced means that the server has seen a higher fence.
	Fenced
	// Misdirected means that another instance listens at the server's address and has refused the order.
	Misdirected
)

// Report is the response to an order.
type Report struct {
	Outcome  Outcome
	Handover string
	// Reason describes a failure.
	Reason string
	// Clock is the responding process's clock.
	Clock Clock
}
