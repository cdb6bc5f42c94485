// Package server simulates a backend server over HTTP. It handles requests for
// keys, grants, probes, health, load and drains, and the control requests of tests.
//
// # Usage
//
//	s := server.New(config, listener, faults, clock, os.Exit)
//	http.Server{Handler: s, ConnContext: server.ConnContext}.Serve(listener)
package server

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramleystand.org/backendd/internal/clock"
	"bramleystand.org/backendd/internal/execution"
	"bramleystand.org/backendd/internal/fault"
	"bramleystand.org/backendd/internal/gate"
	"bramleystand.org/backendd/internal/slots"
	"bramleystand.org/backendd/internal/socket"
)

const pathKeys = "/keys/"

// maxWaiting is the maximum number of requests that wait for a slot. Further requests
// are refused.
const maxWaiting = 4

// Server handles the requests of leaseholders and the control requests of tests.
type Server struct {
	config       Config
	listener     *socket.Listener
	faults       *fault.Injector
	clock        *clock.Clock
	exit         func(int)
	gate         *gate.Gate
	slots        *slots.Slots
	log          *execution.Log
	serviceTimes *serviceTimes
	loadHistory  loadHistory
	serviceMux   *http.ServeMux
	controlMux   *http.ServeMux
	probes       atomic.Int64
	grants       atomic.Int64

	mu          sync.Mutex
	drainStart  time.Time // zero unless draining
	running     map[*request]time.Duration
	reopenTimer *time.Timer
}

// New returns a server whose connections come from the listener. It calls exit with
// code 2 for a request with the crash header, unless that fault is disabled.
func New(c Config, l *socket.Listener, f *fault.Injector, k *clock.Clock, exit func(int)) *Server {
	s := &Server{
		config:       c,
		listener:     l,
		faults:       f,
		clock:        k,
		exit:         exit,
		gate:         gate.New(k.Incarnation()),
		slots:        slots.New(c.Slots, maxWaiting),
		log:          execution.New(c.Executions),
		serviceTimes: newServiceTimes(c, time.Now()),
		serviceMux:   http.NewServeMux(),
		controlMux:   http.NewServeMux(),
		running:      make(map[*request]time.Duration),
	}
	s.serviceMux.HandleFunc("PUT /grant", s.handleGrant)
	s.serviceMux.HandleFunc("GET /probe", s.handleProbe)
	s.serviceMux.HandleFunc("GET /health", s.handleHealth)
	s.serviceMux.HandleFunc("GET /load", s.load)
	s.serviceMux.HandleFunc("POST /drain", s.handleDrain)
	s.controlMux.HandleFunc("GET /executions", s.listExecutions)
	s.controlMux.HandleFunc("GET /faults", s.showFaults)
	s.controlMux.HandleFunc("POST /faults", s.changeFaults)
	s.controlMux.HandleFunc("GET /dump", s.showDump)
	s.controlMux.Handle("GET /debug/vars", expvar.Handler())
	return s
}

// connContextKey is the context key of a request's connection.
type connContextKey struct{}

// ConnContext stores the connection in the context of its requests, so that the
// handlers can mark it as a control connection.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// ServeHTTP answers control requests at once. All other requests wait while the
// server is frozen.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if number := r.Header.Get(headerExchange); number != "" {
		w.Header().Set(headerExchange, number)
	}
	if strings.HasPrefix(r.URL.EscapedPath(), pathKeys) {
		s.serveKey(w, r)
		return
	}
	if _, pattern := s.controlMux.Handler(r); pattern != "" {
		if c, ok := r.Context().Value(connContextKey{}).(*socket.Conn); ok {
			c.SetControl()
		}
		s.controlMux.ServeHTTP(w, r)
		return
	}
	if s.faults.WaitUnfrozen(r.Context()) != nil {
		return
	}
	s.serviceMux.ServeHTTP(w, r)
}

// Drain makes the server refuse new requests from now on.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainStart.IsZero() {
		s.drainStart = time.Now()
	}
}

// drainingSince returns when the server began to refuse new requests, or zero if it
// accepts them.
func (s *Server) drainingSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainStart
}
