package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"bramleystand.org/platformd/internal/fault"
	"bramleystand.org/platformd/internal/vm"
)

// endless is the length of an outage without an end.
const endless = 24 * 365 * time.Hour

// largestControl bounds the body of a control request.
const largestControl = 4 << 20

// faultsJSON is a change of faults; fields that are missing stay as they are.
type faultsJSON struct {
	Outage      *string `json:"outage,omitempty"`
	OutageMs    *int64  `json:"outageMs,omitempty"`
	DelayMs     *int64  `json:"delayMs,omitempty"`
	LoseAnswers *int    `json:"loseAnswers,omitempty"`
	StaleVMs    *bool   `json:"staleVMs,omitempty"`
}

// validate returns an error that names field, value and what is allowed.
func (f *faultsJSON) validate() error {
	if f.Outage != nil {
		switch fault.Mode(*f.Outage) {
		case fault.None, fault.Refuse, fault.Hang, fault.Fail:
		default:
			return fmt.Errorf("server: outage: %q is not allowed, only refuse, hang, fail and an empty one", *f.Outage)
		}
	}
	if f.OutageMs != nil && (*f.OutageMs < 0 || f.Outage == nil) {
		return fmt.Errorf("server: outageMs: %d is not allowed, only 0 and more together with outage", *f.OutageMs)
	}
	if f.DelayMs != nil && *f.DelayMs < 0 {
		return fmt.Errorf("server: delayMs: %d is not allowed, only 0 and more", *f.DelayMs)
	}
	if f.LoseAnswers != nil && *f.LoseAnswers < 0 {
		return fmt.Errorf("server: loseAnswers: %d is not allowed, only 0 and more", *f.LoseAnswers)
	}
	return nil
}

// apply changes a state; an outage without a length has no end.
func (f *faultsJSON) apply(s *fault.State, now time.Time) {
	if f.Outage != nil {
		s.Mode, s.OutageUntil = fault.Mode(*f.Outage), now.Add(endless)
	}
	if f.OutageMs != nil {
		s.OutageUntil = now.Add(time.Duration(*f.OutageMs) * time.Millisecond)
	}
	if f.DelayMs != nil {
		s.Delay = time.Duration(*f.DelayMs) * time.Millisecond
	}
	if f.LoseAnswers != nil {
		s.LoseAnswers = *f.LoseAnswers
	}
	if f.StaleVMs != nil {
		s.StaleVMs = *f.StaleVMs
	}
}

// state returns the faults in force.
func (s *Server) state() faultsJSON {
	f, _ := s.faults.State()
	now := time.Now()
	mode, delay := string(f.Outage(now)), f.Delay.Milliseconds()
	n := faultsJSON{Outage: &mode, DelayMs: &delay, LoseAnswers: &f.LoseAnswers, StaleVMs: &f.StaleVMs}
	if mode != "" {
		left := f.OutageUntil.Sub(now).Milliseconds()
		n.OutageMs = &left
	}
	return n
}

// showFaults answers with the faults in force.
func (s *Server) showFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.state())
}

// changeFaults changes the faults in force.
func (s *Server) changeFaults(w http.ResponseWriter, r *http.Request) {
	var f faultsJSON
	err := decode(w, r, &f)
	if err == nil {
		err = f.validate()
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, problemJSON{Error: err.Error()})
		return
	}
	now := time.Now()
	s.faults.Change(func(state *fault.State) { f.apply(state, now) })
	if f.StaleVMs != nil {
		s.vms.SetStale(*f.StaleVMs, now)
	}
	writeJSON(w, http.StatusOK, s.state())
}

// replaceVMs sets the list of VMs, visible after the lag.
func (s *Server) replaceVMs(w http.ResponseWriter, r *http.Request) {
	var n struct {
		VMs []vmJSON `json:"vms"`
	}
	if err := decode(w, r, &n); err != nil {
		writeJSON(w, http.StatusBadRequest, problemJSON{Error: err.Error()})
		return
	}
	var replaced []vm.VM
	for _, m := range n.VMs {
		replaced = append(replaced, vm.VM{Name: m.Name, DataCentre: m.DC, State: m.State})
	}
	for _, m := range replaced {
		if err := m.Validate(); err != nil {
			writeJSON(w, http.StatusBadRequest, problemJSON{Error: err.Error()})
			return
		}
	}
	s.vms.Replace(replaced, time.Now())
	writeJSON(w, http.StatusOK, encodeVMs(s.vms.View(time.Now())))
}

// decode reads a JSON body without unknown fields.
func decode(w http.ResponseWriter, r *http.Request, into any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, largestControl))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("server: body: %w", err)
	}
	return nil
}

// showCalls answers with the number of calls of each kind.
func (s *Server) showCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.calls.encode())
}

// Calls returns the number of calls of each kind for expvar.
func (s *Server) Calls() any {
	return s.calls.encode()
}

// dumpJSON is the whole state.
type dumpJSON struct {
	Calls   callsJSON   `json:"calls"`
	Faults  faultsJSON  `json:"faults"`
	VMs     vmsJSON     `json:"vms"`
	Objects objectsJSON `json:"objects"`
}

// dump writes the whole state.
func (s *Server) dump(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, dumpJSON{
		Calls:   s.calls.encode(),
		Faults:  s.state(),
		VMs:     encodeVMs(s.vms.View(time.Now())),
		Objects: encodeObjects(s.store.List("")),
	})
}
