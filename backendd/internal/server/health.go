package server

import (
	"net/http"
	"strconv"
	"time"
)

// healthJSON is the answer of the health endpoint.
type healthJSON struct {
	Server string `json:"server"`
	Status string `json:"status"`
}

// loadJSON is the answer of the load endpoint.
type loadJSON struct {
	Server  string `json:"server"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
}

// probe answers after the cost of a probe.
func (s *Server) probe(w http.ResponseWriter, r *http.Request) {
	s.probes.Add(1)
	select {
	case <-time.After(s.config.Probe):
	case <-r.Context().Done():
		return
	}
	if s.faults.Thaw(r.Context()) != nil {
		return
	}
	s.answer(w, http.StatusOK, healthJSON{Server: s.config.Name, Status: "ok"})
}

// health reports whether the server drains, possibly late or falsely.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	view := s.faults.State().Health
	status := "ok"
	if since := s.draining(); !since.IsZero() && time.Since(since) >= view.Lag {
		status = "draining"
	}
	if view.False != "" {
		status = view.False
	}
	code := http.StatusOK
	if status != "ok" {
		code = http.StatusServiceUnavailable
	}
	s.answer(w, code, healthJSON{Server: s.config.Name, Status: status})
}

// load reports the load, possibly late or falsely.
func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	view := s.faults.State().Load
	l := s.loadNow()
	if view.Lag > 0 {
		l = s.history.at(time.Now().Add(-view.Lag))
	}
	if n, err := strconv.Atoi(view.False); err == nil {
		l = load{running: n}
	}
	s.answer(w, http.StatusOK, loadJSON{
		Server:  s.config.Name,
		Slots:   s.config.Slots,
		Running: l.running,
		Waiting: l.waiting,
	})
}

// loadNow returns the true load.
func (s *Server) loadNow() load {
	return load{running: s.slots.Used(), waiting: s.slots.Waiting()}
}

// drain refuses new requests from now on.
func (s *Server) drain(w http.ResponseWriter, _ *http.Request) {
	s.Drain()
	s.answer(w, http.StatusOK, loadJSON{
		Server:  s.config.Name,
		Slots:   s.config.Slots,
		Running: s.slots.Used(),
		Waiting: s.slots.Waiting(),
	})
}
