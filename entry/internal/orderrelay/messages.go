package orderrelay

import (
	"net/netip"
	"time"
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
