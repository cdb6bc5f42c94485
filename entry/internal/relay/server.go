package relay

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/bodybudget"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/rpc"
)

const (
	// method is the name of the RPC method.
	method = "/bramleystand/relay"
	// aliveInterval is the time between two signs of life while a call waits or runs.
	aliveInterval = 150 * time.Millisecond
	// refusalRetryDelay is the time after which a call that found no memory may be sent again.
	refusalRetryDelay = 200 * time.Millisecond
)

// Dispatcher sends calls to servers.
type Dispatcher interface {
	// CheckReach returns why this process can't send requests to a server of a service now, or an empty
	// reason.
	CheckReach(now time.Time, service string, inst registry.Instance) dispatch.Reason
	// DoRelayed returns the final response to a call of another process.
	DoRelayed(ctx context.Context, c *dispatch.Call) *dispatch.Result
}

// RPCHandler handles the RPC methods of other packages on the same listener.
type RPCHandler interface {
	HandleRPC(stream drpc.Stream, method string) error
}

// Server handles the calls that other processes relay. It is safe for concurrent use.
type Server struct {
	dispatcher Dispatcher
	next       RPCHandler
	// memory is the budget for the bodies of relayed requests and of their responses above 64 KiB.
	memory  *bodybudget.Budget
	maxBody int64
	taken   atomic.Int64

	mu sync.Mutex
	// stopping is true after Stop, running is the number of accepted calls, and idle is closed when the
	// former is true and the latter zero.
	stopping bool
	running  int
	idle     chan struct{}
}

// NewServer returns a server that passes other methods to next. The bodies of all calls take at most the given bytes.
func NewServer(d Dispatcher, next RPCHandler, bodyBytes int64) *Server {
	return &Server{dispatcher: d, next: next, memory: bodybudget.New(bodyBytes), maxBody: bodyBytes, idle: make(chan struct{})}
}

// Taken returns the number of calls of other processes that this one has accepted.
func (s *Server) Taken() int64 { return s.taken.Load() }

// Stop makes the server refuse further calls, so that their senders try other processes.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopping && s.running == 0 {
		close(s.idle)
	}
	s.stopping = true
}

// Wait waits after Stop until the accepted calls have ended, or until the context ends.
func (s *Server) Wait(ctx context.Context) {
	select {
	case <-s.idle:
	case <-ctx.Done():
	}
}

// begin counts a call that is accepted. It returns false after Stop.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.running++
	return true
}

// end counts the end of an accepted call.
func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.stopping && s.running == 0 {
		close(s.idle)
	}
}

// HandleRPC implements report.RPCHandler.
func (s *Server) HandleRPC(stream drpc.Stream, name string) error {
	if name != method {
		return s.next.HandleRPC(stream, name)
	}
	var w wireCall
	if err := stream.MsgRecv(&w, rpc.Encoding{}); err != nil {
		return fmt.Errorf("relay: receive call: %w", err)
	}
	now := time.Now()
	call, server := decodeCall(now, &w)
	call.Memory = s.memory.Open()
	defer call.Memory.Close()
	if refusal := s.refusal(now, call, server, w.BodyLength); refusal != nil {
		return send(stream, encodeResult(now, refusal))
	}
	if !s.begin() {
		return send(stream, encodeResult(now, &dispatch.Result{Status: http.StatusServiceUnavailable, RetryAt: now.Add(refusalRetryDelay), Reason: dispatch.Stopping}))
	}
	defer s.end()
	if err := send(stream, &wireAnswer{Kind: uint8(accepted)}); err != nil {
		return err
	}
	var err error
	if call.Body, err = rpc.ReceiveBody(stream, w.BodyLength); err != nil {
		return fmt.Errorf("relay: receive request: %w", err)
	}
	s.taken.Add(1)
	return s.run(stream, call)
}

// refusal returns the result of a call that is not accepted, or nil.
func (s *Server) refusal(now time.Time, c *dispatch.Call, server registry.Instance, bodyLength int64) *dispatch.Result {
	r := &dispatch.Result{Status: http.StatusServiceUnavailable, RetryAt: now.Add(refusalRetryDelay)}
	if r.Reason = s.dispatcher.CheckReach(now, c.Service, server); r.Reason != "" {
		return r
	}
	if bodyLength < 0 || bodyLength > s.maxBody || !c.Memory.Reserve(bodyLength) {
		r.Reason = dispatch.RelayFull
		return r
	}
	return nil
}

// run sends a call to a server and sends its result. The call is given up when the stream ends.
func (s *Server) run(stream drpc.Stream, call *dispatch.Call) error {
	ctx, cancel := context.WithDeadline(stream.Context(), call.Deadline)
	defer cancel()
	var group sync.WaitGroup
	signs, stopSigns := context.WithCancel(ctx)
	group.Go(func() { sendSigns(signs, stream, cancel) })
	r := func() *dispatch.Result {
		// The signs of life end also if the call panics; messages must not be sent at the same time.
		defer group.Wait()
		defer stopSigns()
		return s.dispatcher.DoRelayed(ctx, call)
	}()
	return sendResult(stream, r)
}

// sendSigns sends signs of life until the context ends. If that fails, the sender of the call is lost.
func sendSigns(ctx context.Context, stream drpc.Stream, lost func()) {
	ticker := time.NewTicker(aliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := send(stream, &wireAnswer{Kind: uint8(alive)}); err != nil {
			lost()
			return
		}
	}
}

func sendResult(stream drpc.Stream, r *dispatch.Result) error {
	if err := send(stream, encodeResult(time.Now(), r)); err != nil {
		return err
	}
	if r.Response == nil {
		return nil
	}
	return rpc.SendBody(stream, r.Response.Body)
}

func send(stream drpc.Stream, w *wireAnswer) error {
	if err := stream.MsgSend(w, rpc.Encoding{}); err != nil {
		return fmt.Errorf("relay: send: %w", err)
	}
	return nil
}
