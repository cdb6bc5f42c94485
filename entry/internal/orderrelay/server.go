// Package orderrelay sends orders to backend servers through another entry process, for a coordinator that
// does not reach a server itself, and tells which servers a process reaches.
//
// A grant runs from its arrival at the server, and the coordinator counts it as in force until a fixed time
// after it was ordered. A grant must therefore not be sent late, however long its call was queued behind a
// cut, or the process that sends it was short of processor time or its VM suspended. The clocks of two VMs
// differ, so the order states its time by the clock of the sending process:
//
//   - Each response of a process has a reading R of its boot clock, which also runs while its VM is
//     suspended. The reading was taken before the coordinator received it, at time t.
//   - The order says: send before your clock shows R + 0.98 (s - t), where s is the time until which the
//     order may be sent. The process's clock reaches that at s or before, because R was read at t or before
//     and the two clocks drift by at most 2%.
//   - The sending process compares its clock right before it writes the call to an open connection. Another
//     incarnation of the process refuses the order, because its VM may have booted again.
//
// The sending process then bounds the call by the order's timeout and resets the connection when that ends.
// So an order without a response has reached its server by s and the timeout, or never will, and the
// coordinator waits until then before it counts the result as unknown. A release may come late, as one that
// the coordinator sends itself.
//
// A response says what a call of the coordinator itself would have: executed, not sent, late, fenced,
// misdirected or unknown. It says nothing about the connection on which the server has accepted a fence, so
// each grant needs a new one.
//
// # Usage
//
//	server := orderrelay.NewServer(incarnation, prober, grants, fallback)
//	err := server.HandleRPC(stream, method)
//
//	client := orderrelay.NewClient(peers)
//	answer, err := client.Query(ctx, address, orderrelay.Query{Servers: addresses})
//	received := time.Now()
//	o.SendBefore = orderrelay.SendBefore(answer.Clock, received, sendBy)
//	report, err := client.Send(ctx, address, o)
package orderrelay

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/entry/internal/bootclock"
	"bramleystand.org/entry/internal/rpc"
	"bramleystand.org/platform"
)

// RPC method names.
const (
	queryMethod = "/bramleystand/reach"
	orderMethod = "/bramleystand/order"
)

const (
	// maxQueriedServers limits the connections that one query opens.
	maxQueriedServers = 64
	// maxTimeout limits the call to a server, whatever the order says.
	maxTimeout = 5 * time.Second
	// maxDriftPercent is by how much the clocks of two VMs differ in speed.
	maxDriftPercent = 2
)

var errLate = eris.New("orderrelay: the time of the order has passed")

// SendBefore returns the reading of another process's clock that it shows at sendBy or before. The reading
// of that clock was received at the given time.
func SendBefore(reading Clock, received, sendBy time.Time) Clock {
	reading.SinceBoot += sendBy.Sub(received) * (100 - maxDriftPercent) / 100
	return reading
}

// Prober finds out which servers are reached.
type Prober interface {
	Reached(ctx context.Context, servers []netip.AddrPort) []bool
}

// Grants sends orders to servers; platform.GrantClient implements it.
type Grants interface {
	Grant(ctx context.Context, to platform.Recipient, keys keyspace.Range, fence uint64, hold time.Duration, handover string, connection uint64) (uint64, error)
	Release(ctx context.Context, to platform.Recipient, keys keyspace.Range, fence uint64) (string, error)
}

// RPCHandler handles the RPC methods of other packages on the same listener.
type RPCHandler interface {
	HandleRPC(stream drpc.Stream, method string) error
}

// Server serves the calls of other entry processes.
type Server struct {
	incarnation int64
	prober      Prober
	grants      Grants
	fallback    RPCHandler
	now         func() (time.Duration, error)
}

// NewServer returns a server of the process with the given incarnation. RPC methods of other packages are
// passed to the fallback.
func NewServer(incarnation int64, p Prober, g Grants, fallback RPCHandler) *Server {
	return &Server{incarnation: incarnation, prober: p, grants: g, fallback: fallback, now: bootclock.Now}
}

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, method string) error {
	ctx := stream.Context()
	switch method {
	case queryMethod:
		return rpc.HandleUnary(stream, decodeQuery, func(_ time.Time, q Query) Answer { return s.answer(ctx, q) }, encodeAnswer)
	case orderMethod:
		return rpc.HandleUnary(stream, decodeOrder, func(_ time.Time, o Order) Report { return s.send(ctx, o) }, encodeReport)
	}
	return s.fallback.HandleRPC(stream, method)
}

// clock reads the clock of the VM. A clock that can't be read has incarnation zero, with which no order is
// sent.
func (s *Server) clock() Clock {
	sinceBoot, err := s.now()
	if err != nil {
		return Clock{}
	}
	return Clock{Incarnation: s.incarnation, SinceBoot: sinceBoot}
}

// answer handles a query. The clock is read after the servers were tried, so that the reading is recent.
func (s *Server) answer(ctx context.Context, q Query) Answer {
	reached := s.prober.Reached(ctx, q.Servers[:min(len(q.Servers), maxQueriedServers)])
	return Answer{Reached: reached, Clock: s.clock()}
}

// send sends an order to its server.
func (s *Server) send(ctx context.Context, o Order) Report {
	ctx, cancel := context.WithTimeout(ctx, min(o.Timeout, maxTimeout))
	defer cancel()
	r := Report{Outcome: Executed}
	var err error
	if o.Release {
		r.Handover, err = s.grants.Release(ctx, o.To, o.Keys, o.Fence)
	} else {
		err = s.grant(ctx, o)
	}
	if err != nil {
		r.Outcome, r.Reason = outcomeOf(err), err.Error()
	}
	r.Clock = s.clock()
	return r
}

// grant sends a grant if its time has not passed.
func (s *Server) grant(ctx context.Context, o Order) error {
	inTime := func() error {
		if now := s.clock(); now.Incarnation == 0 || now.Incarnation != o.SendBefore.Incarnation || now.SinceBoot > o.SendBefore.SinceBoot {
			return errLate
		}
		return nil
	}
	if err := inTime(); err != nil {
		return err
	}
	if _, err := s.grants.Grant(platform.WithSendCheck(ctx, inTime), o.To, o.Keys, o.Fence, o.Hold, o.Handover, 0); err != nil {
		return fmt.Errorf("orderrelay: %w", err)
	}
	return nil
}

// outcomeOf returns the outcome of an order that failed.
func outcomeOf(err error) Outcome {
	switch {
	case errors.Is(err, errLate):
		return Late
	case errors.Is(err, platform.ErrNotSent):
		return NotSent
	case errors.Is(err, platform.ErrFenced):
		return Fenced
	case errors.Is(err, platform.ErrMisdirected):
		return Misdirected
	}
	return Unknown
}
