// Package report defines the messages between the coordinator and the other entry processes and sends
// them over drpc.
//
// Processes report their load to the coordinator; its responses also show that it is alive. The
// coordinator streams updates to the processes that follow it: the changes of configuration, servers
// and tables. A process that starts while the store can't be reached gets the objects of the store from
// another process, and a new coordinator asks the former one to stop.
//
// # Usage
//
//	server := report.NewServer(handler, fallback, logger)
//	go server.Serve(ctx, listener)
//
//	client := report.NewClient(dialer)
//	response, err := client.Report(ctx, address, r)
package report

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/apex/log"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"bramleystand.org/entry/internal/rpc"
)

// RPC method names.
const (
	reportMethod   = "/bramleystand/report"
	snapshotMethod = "/bramleystand/snapshot"
	followMethod   = "/bramleystand/follow"
	stepDownMethod = "/bramleystand/yield"
)

// Handler handles the calls of other entry processes.
type Handler interface {
	Report(now time.Time, r Report) Response
	Snapshot(now time.Time, _ struct{}) []Object
	StepDown(now time.Time, request StepDown) StepDownResponse
	// Follow sends updates, starting with the objects that the following process lacks, until the context
	// ends, sending fails or this process is no longer the coordinator.
	Follow(ctx context.Context, request FollowRequest, send func(Update) error) error
}

// RPCHandler handles the RPC methods of other packages on the same listener.
type RPCHandler interface {
	HandleRPC(stream drpc.Stream, method string) error
}

// Server serves the calls of other entry processes.
type Server struct {
	handler  Handler
	fallback RPCHandler
	drpc     *drpcserver.Server
}

// NewServer returns a server that accepts no connections until Serve. RPC methods of other packages are
// passed to the fallback.
func NewServer(h Handler, fallback RPCHandler, logger log.Interface) *Server {
	s := &Server{handler: h, fallback: fallback}
	s.drpc = drpcserver.NewWithOptions(rpc.Recovering{Handler: s, Logger: logger}, drpcserver.Options{Manager: rpc.Manager})
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
func (s *Server) HandleRPC(stream drpc.Stream, method string) error {
	switch method {
	case reportMethod:
		return rpc.HandleUnary(stream, func(w *wireReport) Report { return decodeReport(time.Now(), w) }, s.handler.Report, encodeResponse)
	case snapshotMethod:
		return rpc.HandleUnary(stream, decodeSnapshotRequest, s.handler.Snapshot, encodeObjects)
	case stepDownMethod:
		return rpc.HandleUnary(stream, decodeStepDown, s.handler.StepDown, encodeStepDownResponse)
	case followMethod:
		return s.follow(stream)
	}
	return s.fallback.HandleRPC(stream, method)
}

// follow receives what another process has and sends it updates.
func (s *Server) follow(stream drpc.Stream) error {
	var request wireFollowRequest
	if err := stream.MsgRecv(&request, rpc.Encoding{}); err != nil {
		return fmt.Errorf("report: receive follow request: %w", err)
	}
	return s.handler.Follow(stream.Context(), decodeFollowRequest(&request), func(u Update) error {
		if err := stream.MsgSend(encodeUpdate(u), rpc.Encoding{}); err != nil {
			return fmt.Errorf("report: send update: %w", err)
		}
		return nil
	})
}
