package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"bramleystand.org/platformd/internal/fault"
	"bramleystand.org/platformd/internal/vm"
)

// unlimitedOutage is the duration of an outage that was set without one.
const unlimitedOutage = 24 * 365 * time.Hour

// maxControlBytes limits the body of a control request.
const maxControlBytes = 4 << 20

// faultsJSON is the JSON form of the faults and of a change to them; a change leaves missing fields
// as they are.
type faultsJSON struct {
	Outage        *string `json:"outage,omitempty"`
	OutageMs      *int64  `json:"outageMs,omitempty"`
	DelayMs       *int64  `json:"delayMs,omitempty"`
	LoseResponses *int    `json:"loseAnswers,omitempty"`
	StaleVMs      *bool   `json:"staleVMs,omitempty"`
}

// validate returns an error that names the field, the value and what is allowed.
func (f *faultsJSON) validate() error {
	if f.Outage != nil {
		switch fault.OutageMode(*f.Outage) {
		case fault.None, fault.Refuse, fault.Hang, fault.Fail:
		default:
			return fmt.Errorf("server: outage: %q is not allowed, allowed: refuse, hang, fail or an empty string", *f.Outage)
		}
	}
	if f.OutageMs != nil && (*f.OutageMs < 0 || f.Outage == nil) {
		return fmt.Errorf("server: outageMs: %d is not allowed, allowed: 0 or more, and only together with outage", *f.OutageMs)
	}
	if f.DelayMs != nil && *f.DelayMs < 0 {
		return fmt.Errorf("server: delayMs: %d is not allowed, allowed: 0 or more", *f.DelayMs)
	}
	if f.LoseResponses != nil && *f.LoseResponses < 0 {
		return fmt.Errorf("server: loseAnswers: %d is not allowed, allowed: 0 or more", *f.LoseResponses)
	}
	return nil
}

// apply changes the state; an outage without a duration lasts for unlimitedOutage.
func (f *faultsJSON) apply(s *fault.State, now time.Time) {
	if f.Outage != nil {
		s.OutageMode, s.OutageUntil = fault.OutageMode(*f.Outage), now.Add(unlimitedOutage)
	}
	if f.OutageMs != nil {
		s.OutageUntil = now.Add(time.Duration(*f.OutageMs) * time.Millisecond)
	}
	if f.DelayMs != nil {
		s.Delay = time.Duration(*f.DelayMs) * time.Millisecond
	}
	if f.LoseResponses != nil {
		s.LoseResponses = *f.LoseResponses
	}
	if f.StaleVMs != nil {
		s.StaleVMs = *f.StaleVMs
	}
}

// currentFaults returns the active faults.
func (s *Server) currentFaults() faultsJSON {
	state, _ := s.faults.State()
	now := time.Now()
	mode, delay := string(state.Outage(now)), state.Delay.Milliseconds()
	n := faultsJSON{Outage: &mode, DelayMs: &delay, LoseResponses: &state.LoseResponses, StaleVMs: &state.StaleVMs}
	if mode != "" {
		remaining := state.OutageUntil.Sub(now).Milliseconds()
		n.OutageMs = &remaining
	}
	return n
}

// showFaults answers with the active faults.
func (s *Server) showFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.currentFaults())
}

// changeFaults changes the active faults.
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
	s.faults.Update(func(state *fault.State) { f.apply(state, now) })
	if f.StaleVMs != nil {
		s.vms.SetStale(*f.StaleVMs, now)
	}
	writeJSON(w, http.StatusOK, s.currentFaults())
}

// replaceVMs replaces the list of VMs; the change becomes visible after the lag.
func (s *Server) replaceVMs(w http.ResponseWriter, r *http.Request) {
	var body struct {
		VMs []vmJSON `json:"vms"`
	}
	if err := decode(w, r, &body); err != nil {
		writeJSON(w, http.StatusBadRequest, problemJSON{Error: err.Error()})
		return
	}
	var vms []vm.VM
	for _, m := range body.VMs {
		vms = append(vms, vm.VM{Name: m.Name, DataCentre: m.DC, State: m.State})
	}
	for _, m := range vms {
		if err := m.Validate(); err != nil {
			writeJSON(w, http.StatusBadRequest, problemJSON{Error: err.Error()})
			return
		}
	}
	s.vms.Replace(vms, time.Now())
	writeJSON(w, http.StatusOK, encodeVMs(s.vms.Visible(time.Now())))
}

// decode parses a JSON body and rejects unknown fields.
func decode(w http.ResponseWriter, r *http.Request, into any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("server: body: %w", err)
	}
	return nil
}

// showCalls answers with the number of calls of each kind.
func (s *Server) showCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.callCounter.encode())
}

// Calls returns the number of calls of each kind, in the form that expvar publishes.
func (s *Server) Calls() any {
	return s.callCounter.encode()
}

// dumpJSON is the JSON form of the server's whole state.
type dumpJSON struct {
	Calls   callsJSON   `json:"calls"`
	Faults  faultsJSON  `json:"faults"`
	VMs     vmsJSON     `json:"vms"`
	Objects objectsJSON `json:"objects"`
}

// showDump answers with the server's whole state.
func (s *Server) showDump(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, dumpJSON{
		Calls:   s.callCounter.encode(),
		Faults:  s.currentFaults(),
		VMs:     encodeVMs(s.vms.Visible(time.Now())),
		Objects: encodeObjects(s.store.List("")),
	})
}
