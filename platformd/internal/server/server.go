// Package server offers the platform's object API and list of VMs over HTTP, and
// the control requests of tests.
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

const pathObjects = "/objects/"

// Server answers calls.
type Server struct {
	store    *store.Store
	vms      *vm.List
	faults   *fault.Switch
	calls    calls
	control  *http.ServeMux
	stopping chan struct{}
	stop     sync.Once
}

// New returns a server for a store and a list of VMs.
func New(s *store.Store, m *vm.List, f *fault.Switch) *Server {
	v := &Server{store: s, vms: m, faults: f, control: http.NewServeMux(), stopping: make(chan struct{})}
	v.control.HandleFunc("GET /calls", v.showCalls)
	v.control.HandleFunc("GET /faults", v.showFaults)
	v.control.HandleFunc("POST /faults", v.changeFaults)
	v.control.HandleFunc("POST /vms", v.replaceVMs)
	v.control.HandleFunc("GET /dump", v.dump)
	v.control.Handle("GET /debug/vars", expvar.Handler())
	return v
}

// Stop ends waiting watches as if their wait were over.
func (s *Server) Stop() {
	s.stop.Do(func() { close(s.stopping) })
}

// ServeHTTP answers control requests at once and all calls as the faults allow.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, handle := s.route(r)
	if handle == nil {
		s.control.ServeHTTP(w, r)
		return
	}
	s.calls.count(kind)
	if !s.pass(w, r) {
		return
	}
	handle(w, r, name)
}

// handler answers a call; only calls for one object have a name.
type handler func(w http.ResponseWriter, r *http.Request, name string)

// route returns the kind of a call and its handler, or nil for a control request.
// Object names are taken from the escaped path, because they contain slashes.
func (s *Server) route(r *http.Request) (kind, string, handler) {
	path := r.URL.EscapedPath()
	if strings.HasPrefix(path, pathObjects) {
		name, err := url.PathUnescape(strings.TrimPrefix(path, pathObjects))
		if err != nil {
			return get, "", notFound
		}
		switch r.Method {
		case http.MethodGet:
			return get, name, s.get
		case http.MethodPut:
			return put, name, s.put
		case http.MethodDelete:
			return remove, name, s.remove
		}
		return get, name, notFound
	}
	if r.Method != http.MethodGet {
		return get, "", nil
	}
	switch path {
	case "/objects":
		return list, "", s.list
	case "/watch":
		return watch, "", s.watch
	case "/vms":
		return vms, "", s.listVMs
	}
	return get, "", nil
}

func notFound(w http.ResponseWriter, r *http.Request, _ string) {
	writeJSON(w, http.StatusNotFound, problemJSON{Error: "server: nothing at " + r.Method + " " + r.URL.Path})
}
