// Package orderrelay lets a process that does not reach a backend server find out which other entry processes
// reach it.
//
// # Usage
//
//	server := orderrelay.NewServer(incarnation, prober, fallback)
//	err := server.HandleRPC(stream, method)
//
//	client := orderrelay.NewClient(peers)
//	answer, err := client.Query(ctx, address, orderrelay.Query{Servers: addresses})
package orderrelay

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"storj.io/drpc"

	"bramleystand.org/entry/internal/bootclock"
	"bramleystand.org/entry/internal/rpc"
)

// queryMethod is the name of an RPC method.
const queryMethod = "/bramleystand/reach"

// maxQueriedServers limits the connections that one query opens.
const maxQueriedServers = 64

// Prober finds out which servers are reached.
type Prober interface {
	Reached(ctx context.Context, servers []netip.AddrPort) []bool
}

// RPCHandler handles the RPC methods of other packages on the same listener.
type RPCHandler interface {
	HandleRPC(stream drpc.Stream, method string) error
}

// Server serves the calls of other entry processes.
type Server struct {
	incarnation int64
	prober      Prober
	fallback    RPCHandler
}

// NewServer returns a server of the process with the given incarnation. RPC methods of other packages are
// passed to the fallback.
func NewServer(incarnation int64, p Prober, fallback RPCHandler) *Server {
	return &Server{incarnation: incarnation, prober: p, fallback: fallback}
}

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, method string) error {
	if method != queryMethod {
		return s.fallback.HandleRPC(stream, method)
	}
	clock, err := s.clock()
	if err != nil {
		return err
	}
	return rpc.HandleUnary(stream, decodeQuery, func(_ time.Time, q Query) Answer {
		q.Servers = q.Servers[:min(len(q.Servers), maxQueriedServers)]
		return Answer{Reached: s.prober.Reached(stream.Context(), q.Servers), Clock: clock}
	}, encodeAnswer)
}

// clock reads the clock of the VM.
func (s *Server) clock() (Clock, error) {
	sinceBoot, err := bootclock.Now()
	if err != nil {
		return Clock{}, fmt.Errorf("orderrelay: %w", err)
	}
	return Clock{Incarnation: s.incarnation, SinceBoot: sinceBoot}, nil
}
