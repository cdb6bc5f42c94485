package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"bramleystand.org/backendd/internal/fault"
)

// faultsJSON is a change of the active faults. A missing field leaves its fault as it is.
type faultsJSON struct {
	// FreezeMs and RefuseMs count from now. 0 ends the fault, and -1 means no end.
	FreezeMs      *int64          `json:"freezeMs,omitempty"`
	RefuseMs      *int64          `json:"refuseMs,omitempty"`
	Silence       bool            `json:"silence,omitempty"`
	Health        *distortionJSON `json:"health,omitempty"`
	Load          *distortionJSON `json:"load,omitempty"`
	CrashEnabled  *bool           `json:"crash,omitempty"`
	TruncateCount *int            `json:"truncate,omitempty"`
	SlowFactor    *float64        `json:"slow,omitempty"`
}

// distortionJSON makes an endpoint report an old or a false value.
type distortionJSON struct {
	LagMs      int64  `json:"lagMs"`
	FalseValue string `json:"false"`
}

// unlimitedDuration is the duration of a fault without an end.
const unlimitedDuration = 24 * 365 * time.Hour

// maxFaultsSize is the maximum body size of a change of faults, in bytes.
const maxFaultsSize = 64 << 10

// validate returns an error that names the field, its value and what is allowed.
func (f *faultsJSON) validate() error {
	if f.FreezeMs != nil && *f.FreezeMs < -1 {
		return fmt.Errorf("server: freezeMs: %d is not allowed, allowed: -1 or more", *f.FreezeMs)
	}
	if f.RefuseMs != nil && *f.RefuseMs < -1 {
		return fmt.Errorf("server: refuseMs: %d is not allowed, allowed: -1 or more", *f.RefuseMs)
	}
	if f.TruncateCount != nil && *f.TruncateCount < -1 {
		return fmt.Errorf("server: truncate: %d is not allowed, allowed: -1 or more", *f.TruncateCount)
	}
	if f.SlowFactor != nil && !(*f.SlowFactor >= 0) {
		return fmt.Errorf("server: slow: %v is not allowed, allowed: 0 or more", *f.SlowFactor)
	}
	if f.Load != nil && f.Load.FalseValue != "" {
		if _, err := strconv.Atoi(f.Load.FalseValue); err != nil {
			return fmt.Errorf("server: load.false: %q is not allowed, allowed: an integer or an empty string", f.Load.FalseValue)
		}
	}
	return nil
}

// apply changes the fields of a state that the change contains.
func (f *faultsJSON) apply(s *fault.State, now time.Time) {
	if f.FreezeMs != nil {
		s.FrozenUntil = faultEnd(now, *f.FreezeMs)
	}
	if f.RefuseMs != nil {
		s.RefusedUntil = faultEnd(now, *f.RefuseMs)
	}
	if f.Health != nil {
		s.Health = fault.Distortion{Lag: time.Duration(f.Health.LagMs) * time.Millisecond, FalseValue: f.Health.FalseValue}
	}
	if f.Load != nil {
		s.Load = fault.Distortion{Lag: time.Duration(f.Load.LagMs) * time.Millisecond, FalseValue: f.Load.FalseValue}
	}
	if f.CrashEnabled != nil {
		s.CrashEnabled = *f.CrashEnabled
	}
	if f.TruncateCount != nil {
		s.TruncateCount = *f.TruncateCount
	}
	if f.SlowFactor != nil {
		s.SlowFactor = *f.SlowFactor
	}
}

// faultEnd returns when a fault that lasts the given number of milliseconds ends. A
// negative number means no end.
func faultEnd(now time.Time, ms int64) time.Time {
	if ms < 0 {
		return now.Add(unlimitedDuration)
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

// remainingMs returns the milliseconds until a time, or 0 if it has passed.
func remainingMs(now, until time.Time) *int64 {
	ms := max(0, until.Sub(now).Milliseconds())
	return &ms
}

// currentFaults returns the active faults.
func (s *Server) currentFaults() faultsJSON {
	f, now := s.faults.State(), time.Now()
	return faultsJSON{
		FreezeMs:      remainingMs(now, f.FrozenUntil),
		RefuseMs:      remainingMs(now, f.RefusedUntil),
		Health:        &distortionJSON{LagMs: f.Health.Lag.Milliseconds(), FalseValue: f.Health.FalseValue},
		Load:          &distortionJSON{LagMs: f.Load.Lag.Milliseconds(), FalseValue: f.Load.FalseValue},
		CrashEnabled:  &f.CrashEnabled,
		TruncateCount: &f.TruncateCount,
		SlowFactor:    &f.SlowFactor,
	}
}

// showFaults answers with the active faults.
func (s *Server) showFaults(w http.ResponseWriter, _ *http.Request) {
	writeControlResponse(w, http.StatusOK, s.currentFaults())
}

// changeFaults changes the active faults and answers with the result.
func (s *Server) changeFaults(w http.ResponseWriter, r *http.Request) {
	var f faultsJSON
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsSize))
	d.DisallowUnknownFields()
	err := d.Decode(&f)
	if err == nil {
		err = f.validate()
	}
	if err != nil {
		writeControlResponse(w, http.StatusBadRequest, refusalJSON{Server: s.config.Name, Refused: err.Error()})
		return
	}
	s.faults.Update(func(state *fault.State) { f.apply(state, time.Now()) })
	if f.Silence {
		s.listener.Silence()
	}
	if f.RefuseMs != nil {
		if err := s.updateListener(); err != nil {
			writeControlResponse(w, http.StatusInternalServerError, refusalJSON{Server: s.config.Name, Refused: err.Error()})
			return
		}
	}
	writeControlResponse(w, http.StatusOK, s.currentFaults())
}

// updateListener closes or reopens the listener as the faults require. A closed
// listener reopens when the refusal of connections ends.
func (s *Server) updateListener() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reopenTimer != nil {
		s.reopenTimer.Stop()
	}
	wait := time.Until(s.faults.State().RefusedUntil)
	if wait <= 0 {
		return s.listener.Reopen()
	}
	s.listener.Refuse()
	s.reopenTimer = time.AfterFunc(wait, func() { s.listener.Reopen() })
	return nil
}
