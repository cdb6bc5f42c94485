package server

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// responseJSON is the response to a request that ran. It describes the request, so that
// a caller can check that it got the whole response to its own request.
type responseJSON struct {
	Server      string `json:"server"`
	Incarnation int64  `json:"incarnation"`
	Key         string `json:"key"`
	Rank        string `json:"rank"`
	Operation   string `json:"operation,omitempty"`
	Execution   uint64 `json:"execution"`
	SHA256      string `json:"sha256"`
	Length      int64  `json:"length"`
}

// refusalJSON says why a request had no effect.
type refusalJSON struct {
	Server  string `json:"server"`
	Refused string `json:"refused"`
}

// writeResponse writes a JSON response. If the response is to be truncated, it writes the
// first half and aborts the connection.
func (s *Server) writeResponse(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	body = append(body, '\n')
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(headerClock, strconv.FormatInt(int64(s.clock.Now()), 10))
	h.Set(headerIncarnation, strconv.FormatInt(s.clock.Incarnation(), 10))
	w.WriteHeader(status)
	if !s.faults.TakeTruncation() {
		w.Write(body)
		return
	}
	w.Write(body[:len(body)/2])
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
