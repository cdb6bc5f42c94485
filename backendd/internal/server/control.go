package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"bramleystand.org/backendd/internal/execution"
)

// page is the largest number of execution records in one answer.
const page = 10000

// recordJSON is an execution record; times are readings of the server's clock in nanoseconds.
type recordJSON struct {
	Sequence  uint64 `json:"sequence"`
	Key       string `json:"key"`
	Shard     uint32 `json:"shard"`
	Rank      string `json:"rank"`
	Operation string `json:"operation,omitempty"`
	Fence     uint64 `json:"fence"`
	Started   int64  `json:"started"`
	Ended     int64  `json:"ended"`
	Accepted  bool   `json:"accepted"`
	Result    string `json:"result"`
	Reason    string `json:"reason,omitempty"`
}

// executionsJSON is one page of execution records.
type executionsJSON struct {
	Server      string       `json:"server"`
	Incarnation int64        `json:"incarnation"`
	Clock       int64        `json:"clock"`
	Dropped     uint64       `json:"dropped"`
	Running     []recordJSON `json:"running"`
	Executions  []recordJSON `json:"executions"`
}

// countsJSON holds the counters of a server.
type countsJSON struct {
	Running     int   `json:"running"`
	Waiting     int   `json:"waiting"`
	Open        int   `json:"connections"`
	Peak        int   `json:"peakConnections"`
	Dropped     int   `json:"droppedConnections"`
	Probes      int64 `json:"probes"`
	Grants      int64 `json:"grants"`
	Incarnation int64 `json:"incarnation"`
	Clock       int64 `json:"clock"`
}

// dumpJSON is the whole state of a server but for its execution records.
type dumpJSON struct {
	Name     string       `json:"name"`
	Fenced   bool         `json:"fenced"`
	Slots    int          `json:"slots"`
	Draining bool         `json:"draining"`
	Grant    grantJSON    `json:"grant"`
	Counts   countsJSON   `json:"counts"`
	Faults   faultsJSON   `json:"faults"`
	Running  []recordJSON `json:"running"`
}

// executions lists execution records after a sequence number.
func (s *Server) executions(w http.ResponseWriter, r *http.Request) {
	after := uint64(0)
	if v := r.URL.Query().Get("after"); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			err = fmt.Errorf("server: after: %w", err)
			writeJSON(w, http.StatusBadRequest, problem{Server: s.config.Name, Refused: err.Error()})
			return
		}
		after = n
	}
	// Read the running ones first, so that one that ends meanwhile is not missed.
	running := s.runningJSON()
	records, dropped := s.log.After(after, page)
	out := executionsJSON{
		Server:      s.config.Name,
		Incarnation: s.clock.Incarnation(),
		Clock:       int64(s.clock.Now()),
		Dropped:     dropped,
		Running:     running,
		Executions:  make([]recordJSON, 0, len(records)),
	}
	for _, e := range records {
		out.Executions = append(out.Executions, encode(e))
	}
	writeJSON(w, http.StatusOK, out)
}

// encode maps a record to JSON.
func encode(e execution.Record) recordJSON {
	return recordJSON{
		Sequence:  e.Sequence,
		Key:       e.Key,
		Shard:     e.Shard,
		Rank:      e.Rank,
		Operation: e.Operation,
		Fence:     e.Fence,
		Started:   int64(e.Started),
		Ended:     int64(e.Ended),
		Accepted:  e.Result != execution.Refused,
		Result:    string(e.Result),
		Reason:    e.Reason,
	}
}

// runningJSON lists the executions that have not ended.
func (s *Server) runningJSON() []recordJSON {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]recordJSON, 0, len(s.running))
	for q, started := range s.running {
		e := s.record(q)
		e.Started, e.Result = started, "running"
		list = append(list, encode(e))
	}
	return list
}

// Counts returns the counters for expvar.
func (s *Server) Counts() any {
	open, peak, dropped := s.listener.Counts()
	return countsJSON{
		Running:     s.slots.Used(),
		Waiting:     s.slots.Waiting(),
		Open:        open,
		Peak:        peak,
		Dropped:     dropped,
		Probes:      s.probes.Load(),
		Grants:      s.grants.Load(),
		Incarnation: s.clock.Incarnation(),
		Clock:       int64(s.clock.Now()),
	}
}

// dump writes the whole state.
func (s *Server) dump(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, dumpJSON{
		Name:     s.config.Name,
		Fenced:   s.config.Fenced,
		Slots:    s.config.Slots,
		Draining: !s.draining().IsZero(),
		Grant:    s.current(),
		Counts:   s.Counts().(countsJSON),
		Faults:   s.stateJSON(),
		Running:  s.runningJSON(),
	})
}

// writeJSON answers a control request, which no fault affects.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}
