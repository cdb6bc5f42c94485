package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"bramleystand.org/backendd/internal/fault"
)

// faultsJSON is a change of faults; fields that are missing stay as they are.
type faultsJSON struct {
	// FreezeMs and RefuseMs count from now; 0 ends the fault and -1 has no end.
	FreezeMs *int64    `json:"freezeMs,omitempty"`
	RefuseMs *int64    `json:"refuseMs,omitempty"`
	Silence  bool      `json:"silence,omitempty"`
	Health   *viewJSON `json:"health,omitempty"`
	Load     *viewJSON `json:"load,omitempty"`
	Crash    *bool     `json:"crash,omitempty"`
	Truncate *int      `json:"truncate,omitempty"`
	Slow     *float64  `json:"slow,omitempty"`
}

// viewJSON distorts what an endpoint reports.
type viewJSON struct {
	LagMs int64  `json:"lagMs"`
	False string `json:"false"`
}

// endless is the length of a fault without an end.
const endless = 24 * 365 * time.Hour

// largestFaults bounds the body of a change of faults.
const largestFaults = 64 << 10

// validate returns an error that names field, value and what is allowed.
func (f *faultsJSON) validate() error {
	if f.FreezeMs != nil && *f.FreezeMs < -1 {
		return fmt.Errorf("server: freezeMs: %d is not allowed, only -1 and more", *f.FreezeMs)
	}
	if f.RefuseMs != nil && *f.RefuseMs < -1 {
		return fmt.Errorf("server: refuseMs: %d is not allowed, only -1 and more", *f.RefuseMs)
	}
	if f.Truncate != nil && *f.Truncate < -1 {
		return fmt.Errorf("server: truncate: %d is not allowed, only -1 and more", *f.Truncate)
	}
	if f.Slow != nil && !(*f.Slow >= 0) {
		return fmt.Errorf("server: slow: %v is not allowed, only 0 and more", *f.Slow)
	}
	if f.Load != nil && f.Load.False != "" {
		if _, err := strconv.Atoi(f.Load.False); err != nil {
			return fmt.Errorf("server: load.false: %q is not allowed, only a number", f.Load.False)
		}
	}
	return nil
}

// apply changes a state.
func (f *faultsJSON) apply(s *fault.State, now time.Time) {
	if f.FreezeMs != nil {
		s.FrozenUntil = end(now, *f.FreezeMs)
	}
	if f.RefuseMs != nil {
		s.RefusedUntil = end(now, *f.RefuseMs)
	}
	if f.Health != nil {
		s.Health = fault.View{Lag: time.Duration(f.Health.LagMs) * time.Millisecond, False: f.Health.False}
	}
	if f.Load != nil {
		s.Load = fault.View{Lag: time.Duration(f.Load.LagMs) * time.Millisecond, False: f.Load.False}
	}
	if f.Crash != nil {
		s.Crash = *f.Crash
	}
	if f.Truncate != nil {
		s.Truncate = *f.Truncate
	}
	if f.Slow != nil {
		s.Slow = *f.Slow
	}
}

// end returns when a fault that lasts some milliseconds ends.
func end(now time.Time, ms int64) time.Time {
	if ms < 0 {
		return now.Add(endless)
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

// left returns the milliseconds until a time, or 0.
func left(now, until time.Time) *int64 {
	ms := max(0, until.Sub(now).Milliseconds())
	return &ms
}

// stateJSON returns the faults in force.
func (s *Server) stateJSON() faultsJSON {
	f, now := s.faults.State(), time.Now()
	return faultsJSON{
		FreezeMs: left(now, f.FrozenUntil),
		RefuseMs: left(now, f.RefusedUntil),
		Health:   &viewJSON{LagMs: f.Health.Lag.Milliseconds(), False: f.Health.False},
		Load:     &viewJSON{LagMs: f.Load.Lag.Milliseconds(), False: f.Load.False},
		Crash:    &f.Crash,
		Truncate: &f.Truncate,
		Slow:     &f.Slow,
	}
}

// showFaults answers with the faults in force.
func (s *Server) showFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.stateJSON())
}

// changeFaults changes the faults in force.
func (s *Server) changeFaults(w http.ResponseWriter, r *http.Request) {
	var f faultsJSON
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, largestFaults))
	d.DisallowUnknownFields()
	err := d.Decode(&f)
	if err == nil {
		err = f.validate()
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, problem{Server: s.config.Name, Refused: err.Error()})
		return
	}
	s.faults.Change(func(state *fault.State) { f.apply(state, time.Now()) })
	if f.Silence {
		s.listener.Silence()
	}
	if f.RefuseMs != nil {
		if err := s.setRefused(); err != nil {
			writeJSON(w, http.StatusInternalServerError, problem{Server: s.config.Name, Refused: err.Error()})
			return
		}
	}
	writeJSON(w, http.StatusOK, s.stateJSON())
}

// setRefused closes or reopens the listener and plans its reopening.
func (s *Server) setRefused() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reopener != nil {
		s.reopener.Stop()
	}
	wait := time.Until(s.faults.State().RefusedUntil)
	if wait <= 0 {
		return s.listener.Reopen()
	}
	s.listener.Refuse()
	s.reopener = time.AfterFunc(wait, func() { s.listener.Reopen() })
	return nil
}
