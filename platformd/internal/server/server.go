// Package server serves the platform's object API and list of VMs over HTTP, and
// the control requests with which tests inject faults and read the state.
//
// # Usage
//
//	s := server.New(store.New(4096), vm.New(list, lag), fault.New())
//	http.Server{Handler: s}.Serve(listener)
package server

import (
	"expvar"
	"net/http"
	"net/url"
	"strings"
	"sync"

	"bramleystand.org/platformd/internal/fault"
	"bramleystand.org/platformd/internal/store"
	"bramleystand.org/platformd/internal/vm"
)

const objectsPath = "/objects/"

// Server answers API calls and control requests. Only API calls are counted and subject to faults.
type Server struct {
	store       *store.Store
	vms         *vm.List
	faults      *fault.Injector
	callCounter callCounter
	controlMux  *http.ServeMux
	stopping    chan struct{}
	stopOnce    sync.Once
}

// New returns a server for a store, a list of VMs and the faults to apply.
func New(s *store.Store, m *vm.List, f *fault.Injector) *Server {
	server := &Server{store: s, vms: m, faults: f, controlMux: http.NewServeMux(), stopping: make(chan struct{})}
	server.controlMux.HandleFunc("GET /calls", server.showCalls)
	server.controlMux.HandleFunc("GET /faults", server.showFaults)
	server.controlMux.HandleFunc("POST /faults", server.changeFaults)
	server.controlMux.HandleFunc("POST /vms", server.replaceVMs)
	server.controlMux.HandleFunc("GET /dump", server.showDump)
	server.controlMux.Handle("GET /debug/vars", expvar.Handler())
	return server
}

// Stop makes waiting watches answer at once, as if their wait were over.
func (s *Server) Stop() {
	s.stopOnce.Do(func() { close(s.stopping) })
}

// ServeHTTP answers control requests at once, and API calls after the faults were applied.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, handle := s.route(r)
	if handle == nil {
		s.controlMux.ServeHTTP(w, r)
		return
	}
	s.callCounter.count(kind)
	if !s.applyFaults(w, r) {
		return
	}
	handle(w, r, name)
}

// handler answers an API call. The name is that of the object, or empty if the call is not about
// one object.
type handler func(w http.ResponseWriter, r *http.Request, name string)

// route returns the kind of an API call, its object name and its handler; the handler is nil for a
// control request. Object names are taken from the escaped path, because they contain slashes.
func (s *Server) route(r *http.Request) (callKind, string, handler) {
	path := r.URL.EscapedPath()
	if strings.HasPrefix(path, objectsPath) {
		name, err := url.PathUnescape(strings.TrimPrefix(path, objectsPath))
		if err != nil {
			return callGet, "", notFound
		}
		switch r.Method {
		case http.MethodGet:
			return callGet, name, s.get
		case http.MethodPut:
			return callPut, name, s.put
		case http.MethodDelete:
			return callDelete, name, s.remove
		}
		return callGet, name, notFound
	}
	if r.Method != http.MethodGet {
		return callGet, "", nil
	}
	switch path {
	case "/objects":
		return callList, "", s.list
	case "/watch":
		return callWatch, "", s.watch
	case "/vms":
		return callVMs, "", s.listVMs
	}
	return callGet, "", nil
}

func notFound(w http.ResponseWriter, r *http.Request, _ string) {
	writeJSON(w, http.StatusNotFound, problemJSON{Error: "server: no resource at " + r.Method + " " + r.URL.Path})
}
