// Package report speaks drpc between entry processes: reports on the load to the coordinator,
// which are also how the processes hear that it is alive, and copies of the store's objects
// for a process that starts while the store can't be reached.
//
// # Usage
//
//	server := report.NewServer(handler)
//	go server.Serve(ctx, listener)
//
//	client := report.NewClient(dialer)
//	answer, err := client.Report(ctx, address, r)
package report

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"bramleystand.org/entry/internal/rpc"
)

// Names of the calls.
const (
	reportCall   = "/bramleystand/report"
	snapshotCall = "/bramleystand/snapshot"
	followCall   = "/bramleystand/follow"
	yieldCall    = "/bramleystand/yield"
)

// Handler answers other processes.
type Handler interface {
	Report(now time.Time, r Report) Answer
	Snapshot(now time.Time, _ struct{}) []Object
	Yield(now time.Time, y Yield) Yielded
	// Follow sends updates, beginning with what a process with the marks lacks, until the context
	// ends or the process is not the coordinator.
	Follow(ctx context.Context, marks []Mark, send func(Update) error) error
}

// Streams handles the calls of other protocols on the same listener.
type Streams interface {
	HandleRPC(stream drpc.Stream, call string) error
}

// Server answers the calls of other entry processes.
type Server struct {
	handler Handler
	other   Streams
	drpc    *drpcserver.Server
}

// NewServer returns a server that is not serving yet; other gets the calls that it does not know.
func NewServer(h Handler, other Streams) *Server {
	s := &Server{handler: h, other: other}
	s.drpc = drpcserver.NewWithOptions(s, drpcserver.Options{Manager: rpc.Manager})
	return s
}

// Serve accepts connections until the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if err := s.drpc.Serve(ctx, l); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("report: serve %s: %w", l.Addr(), err)
	}
	return nil
}

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, call string) error {
	switch call {
	case reportCall:
		return rpc.Unary(stream, decodeReport, s.handler.Report, encodeAnswer)
	case snapshotCall:
		return rpc.Unary(stream, decodeQuery, s.handler.Snapshot, encodeObjects)
	case yieldCall:
		return rpc.Unary(stream, decodeYield, s.handler.Yield, encodeYielded)
	case followCall:
		return s.follow(stream)
	}
	return s.other.HandleRPC(stream, call)
}

// follow sends updates to another process.
func (s *Server) follow(stream drpc.Stream) error {
	var query wireFollow
	if err := stream.MsgRecv(&query, rpc.Encoding{}); err != nil {
		return fmt.Errorf("report: receive: %w", err)
	}
	return s.handler.Follow(stream.Context(), decodeMarks(query.Marks), func(u Update) error {
		if err := stream.MsgSend(encodeUpdate(u), rpc.Encoding{}); err != nil {
			return fmt.Errorf("report: send update: %w", err)
		}
		return nil
	})
}
