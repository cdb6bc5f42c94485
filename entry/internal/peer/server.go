// Package peer implements the drpc protocol between entry processes: a Client and a
// Server for forwarded requests and for control messages.
//
// A drpc connection carries one call at a time, so the client takes connections from
// pools. An error on a connection does not tell whether the other side ran the call, so
// every failure after the first message of a forwarded request is reported as an unknown
// outcome.
//
// # Usage
//
//	server := peer.NewServer(handler, controlHandler, logger)
//	go server.Serve(ctx, listener)
//
//	client := peer.NewClient(&net.Dialer{})
//	response := client.Forward(ctx, leaseholder, request)
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/apex/log"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/exchange"
	"bramleystand.org/entry/internal/rpc"
)

// RequestHandler handles a request for which this process is the leaseholder.
// The rest of the request body can be read only until Handle returns.
type RequestHandler interface {
	Handle(ctx context.Context, r *exchange.Request) *exchange.Response
}

// ControlHandler handles the control messages of other entry processes.
type ControlHandler interface {
	Renew(now time.Time, r control.RenewRequest) control.RenewResponse
	Support(now time.Time, r control.SupportRequest) control.SupportResponse
	Resign(now time.Time, r control.ResignRequest)
	Sync(now time.Time, r control.Sync) control.Sync
}

// Server serves the calls of other entry processes.
type Server struct {
	handler        RequestHandler
	controlHandler ControlHandler
	logger         log.Interface
	drpc           *drpcserver.Server
}

// Names of the drpc calls.
const (
	forwardCall = "/bramleystand/forward"
	renewCall   = "/bramleystand/renew"
	supportCall = "/bramleystand/support"
	resignCall  = "/bramleystand/resign"
	syncCall    = "/bramleystand/sync"
)

// NewServer returns a server. It accepts no connections until Serve is called.
func NewServer(handler RequestHandler, controlHandler ControlHandler, logger log.Interface) *Server {
	s := &Server{handler: handler, controlHandler: controlHandler, logger: logger}
	s.drpc = drpcserver.NewWithOptions(rpc.Recovering{Handler: s, Logger: logger}, drpcserver.Options{Manager: rpc.Manager})
	return s
}

// Serve accepts connections until the context is done.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if err := s.drpc.Serve(ctx, l); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("peer: serve %s: %w", l.Addr(), err)
	}
	return nil
}

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, call string) error {
	switch call {
	case forwardCall:
		return s.handleForward(stream)
	case renewCall:
		return rpc.HandleUnary(stream, decodeRenewRequest, s.controlHandler.Renew, encodeRenewResponse)
	case supportCall:
		return rpc.HandleUnary(stream, decodeSupportRequest, s.controlHandler.Support, encodeSupportResponse)
	case resignCall:
		return rpc.HandleUnary(stream, decodeResignRequest, s.handleResign, encodeResignResponse)
	case syncCall:
		return rpc.HandleUnary(stream, decodeSync, s.controlHandler.Sync, encodeSync)
	}
	return fmt.Errorf("peer: unknown call %q", call)
}

func (s *Server) handleResign(now time.Time, r control.ResignRequest) struct{} {
	s.controlHandler.Resign(now, r)
	return struct{}{}
}

func (s *Server) handleForward(stream drpc.Stream) error {
	var in wireRequest
	if err := stream.MsgRecv(&in, rpc.Encoding{}); err != nil {
		return fmt.Errorf("peer: receive request: %w", err)
	}
	r := decodeRequest(time.Now(), &in)
	if in.HasBodyRest {
		r.BodyRest = &requestBody{stream: stream}
	}
	ctx, cancel := context.WithDeadline(stream.Context(), r.Deadline)
	defer cancel()
	keepAlives := startKeepAlive(stream)
	response := s.handler.Handle(ctx, r)
	keepAlives.stop()
	defer response.Body.Close()
	if err := sendResponse(stream, response); err != nil {
		return fmt.Errorf("peer: send response: %w", err)
	}
	return nil
}
