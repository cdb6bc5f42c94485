package server

import (
	"net/http"
	"strconv"
	"time"
)

// healthJSON is the response of the health endpoint.
type healthJSON struct {
	Server string `json:"server"`
	Status string `json:"status"`
}

// loadJSON is the response of the load endpoint.
type loadJSON struct {
	Server  string `json:"server"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
}

// handleProbe answers after the time that a probe takes.
func (s *Server) handleProbe(w http.ResponseWriter, r *http.Request) {
	s.probes.Add(1)
	select {
	case <-time.After(s.config.ProbeTime):
	case <-r.Context().Done():
		return
	}
	if s.faults.WaitUnfrozen(r.Context()) != nil {
		return
	}
	s.writeResponse(w, http.StatusOK, healthJSON{Server: s.config.Name, Status: "ok"})
}

// handleHealth reports whether the server drains. The health distortion can delay or
// replace the status.
func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	distortion := s.faults.State().Health
	status := "ok"
	if since := s.drainingSince(); !since.IsZero() && time.Since(since) >= distortion.Lag {
		status = "draining"
	}
	if distortion.FalseValue != "" {
		status = distortion.FalseValue
	}
	code := http.StatusOK
	if status != "ok" {
		code = http.StatusServiceUnavailable
	}
	s.writeResponse(w, code, healthJSON{Server: s.config.Name, Status: status})
}

// load reports the load. The load distortion can delay it or replace the number of running
// requests.
func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	distortion := s.faults.State().Load
	l := s.currentLoad()
	if distortion.Lag > 0 {
		l = s.loadHistory.loadAt(time.Now().Add(-distortion.Lag))
	}
	if n, err := strconv.Atoi(distortion.FalseValue); err == nil {
		l = load{running: n}
	}
	s.writeResponse(w, http.StatusOK, loadJSON{
		Server:  s.config.Name,
		Slots:   s.config.Slots,
		Running: l.running,
		Waiting: l.waiting,
	})
}

// currentLoad returns the current load without distortion.
func (s *Server) currentLoad() load {
	return load{running: s.slots.Used(), waiting: s.slots.Waiting()}
}

// handleDrain makes the server refuse new requests from now on.
func (s *Server) handleDrain(w http.ResponseWriter, _ *http.Request) {
	s.Drain()
	s.writeResponse(w, http.StatusOK, loadJSON{
		Server:  s.config.Name,
		Slots:   s.config.Slots,
		Running: s.slots.Used(),
		Waiting: s.slots.Waiting(),
	})
}
