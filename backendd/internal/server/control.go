package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"bramleystand.org/backendd/internal/execution"
)

// maxPageRecords is the maximum number of execution records in one response.
const maxPageRecords = 10000

// recordJSON is an execution record. Times are readings of the server's clock in
// nanoseconds.
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

// executionsJSON is one page of execution records, with the executions that have not
// ended yet.
type executionsJSON struct {
	Server      string       `json:"server"`
	Incarnation int64        `json:"incarnation"`
	Clock       int64        `json:"clock"`
	Dropped     uint64       `json:"dropped"`
	Running     []recordJSON `json:"running"`
	Executions  []recordJSON `json:"executions"`
}

// countsJSON holds the counters and gauges of a server.
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

// dumpJSON is the whole state of a server except its execution records.
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

// listExecutions answers with the execution records after a sequence number.
func (s *Server) listExecutions(w http.ResponseWriter, r *http.Request) {
	after := uint64(0)
	if v := r.URL.Query().Get("after"); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			err = fmt.Errorf("server: after: %w", err)
			writeControlResponse(w, http.StatusBadRequest, refusalJSON{Server: s.config.Name, Refused: err.Error()})
			return
		}
		after = n
	}
	// Read the running executions first, so that one that ends in between appears in
	// the records instead of in neither list.
	running := s.runningRecords()
	records, dropped := s.log.After(after, maxPageRecords)
	out := executionsJSON{
		Server:      s.config.Name,
		Incarnation: s.clock.Incarnation(),
		Clock:       int64(s.clock.Now()),
		Dropped:     dropped,
		Running:     running,
		Executions:  make([]recordJSON, 0, len(records)),
	}
	for _, e := range records {
		out.Executions = append(out.Executions, newRecordJSON(e))
	}
	writeControlResponse(w, http.StatusOK, out)
}

// newRecordJSON converts an execution record to JSON.
func newRecordJSON(e execution.Record) recordJSON {
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

// runningRecords returns the executions that have not ended.
func (s *Server) runningRecords() []recordJSON {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]recordJSON, 0, len(s.running))
	for q, started := range s.running {
		e := s.newRecord(q)
		e.Started, e.Result = started, "running"
		list = append(list, newRecordJSON(e))
	}
	return list
}

// Counts returns the counters and gauges for expvar.
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

// showDump answers with the whole state.
func (s *Server) showDump(w http.ResponseWriter, _ *http.Request) {
	writeControlResponse(w, http.StatusOK, dumpJSON{
		Name:     s.config.Name,
		Fenced:   s.config.Fenced,
		Slots:    s.config.Slots,
		Draining: !s.drainingSince().IsZero(),
		Grant:    s.currentGrant(),
		Counts:   s.Counts().(countsJSON),
		Faults:   s.currentFaults(),
		Running:  s.runningRecords(),
	})
}

// writeControlResponse answers a control request. No fault affects the response.
func writeControlResponse(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}
