package server

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// answer lets a caller check that it got the whole answer to its own request.
type answer struct {
	Server      string `json:"server"`
	Incarnation int64  `json:"incarnation"`
	Key         string `json:"key"`
	Rank        string `json:"rank"`
	Operation   string `json:"operation,omitempty"`
	Execution   uint64 `json:"execution"`
	SHA256      string `json:"sha256"`
	Length      int64  `json:"length"`
}

// problem says why a request had no effect.
type problem struct {
	Server  string `json:"server"`
	Refused string `json:"refused"`
}

// answer writes a JSON answer, or the first half of one if answers are to be truncated.
func (s *Server) answer(w http.ResponseWriter, status int, value any) {
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
	if !s.faults.Truncated() {
		w.Write(body)
		return
	}
	w.Write(body[:len(body)/2])
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
