// Package server represents a backend server over HTTP: requests for keys,
// grants, probes, health, load and drains, and the control requests of tests.
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

// line is the number of requests that wait for a slot before others are shed.
const line = 4

// Server answers the requests of leaseholders.
type Server struct {
	config   Config
	listener *socket.Listener
	faults   *fault.Switch
	clock    *clock.Clock
	exit     func(int)
	gate     *gate.Gate
	slots    *slots.Slots
	log      *execution.Log
	pace     *pace
	history  history
	served   *http.ServeMux
	control  *http.ServeMux
	probes   atomic.Int64
	grants   atomic.Int64

	mu       sync.Mutex
	drained  time.Time // zero unless draining
	running  map[*request]time.Duration
	reopener *time.Timer
}

// New returns a server whose connections come from the listener.
func New(c Config, l *socket.Listener, f *fault.Switch, k *clock.Clock, exit func(int)) *Server {
	s := &Server{
		config:   c,
		listener: l,
		faults:   f,
		clock:    k,
		exit:     exit,
		gate:     gate.New(k.Incarnation()),
		slots:    slots.New(c.Slots, line),
		log:      execution.New(c.Executions),
		pace:     newPace(c, time.Now()),
		served:   http.NewServeMux(),
		control:  http.NewServeMux(),
		running:  make(map[*request]time.Duration),
	}
	s.served.HandleFunc("PUT /grant", s.grant)
	s.served.HandleFunc("GET /probe", s.probe)
	s.served.HandleFunc("GET /health", s.health)
	s.served.HandleFunc("GET /load", s.load)
	s.served.HandleFunc("POST /drain", s.drain)
	s.control.HandleFunc("GET /executions", s.executions)
	s.control.HandleFunc("GET /faults", s.showFaults)
	s.control.HandleFunc("POST /faults", s.changeFaults)
	s.control.HandleFunc("GET /dump", s.dump)
	s.control.Handle("GET /debug/vars", expvar.Handler())
	return s
}

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext makes the connection known to the server's handlers.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ServeHTTP answers control requests at once and all others when the server is not frozen.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.EscapedPath(), pathKeys) {
		s.key(w, r)
		return
	}
	if _, pattern := s.control.Handler(r); pattern != "" {
		if c, ok := r.Context().Value(connKey{}).(*socket.Conn); ok {
			c.SetControl()
		}
		s.control.ServeHTTP(w, r)
		return
	}
	if s.faults.Thaw(r.Context()) != nil {
		return
	}
	s.served.ServeHTTP(w, r)
}

// Drain refuses new requests from now on.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drained.IsZero() {
		s.drained = time.Now()
	}
}

// draining returns since when the server refuses new requests, or zero.
func (s *Server) draining() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drained
}
