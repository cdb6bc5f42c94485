// Package operator serves the admin address: a dump of the process's whole state
// and its metrics.
//
// # Usage
//
//	handler := operator.New(func() any { return process.Dump() }, logger)
//	server := khttp.NewServer(khttp.Filter(handler.Filter))
package operator

import (
	"encoding/json"
	"expvar"
	"net/http"

	"github.com/apex/log"
)

// Handler answers operators.
type Handler struct {
	dump   func() any
	logger log.Interface
}

// New returns a handler; dump returns the state as a value that encoding/json can encode.
func New(dump func() any, logger log.Interface) *Handler {
	return &Handler{dump: dump, logger: logger}
}

// Filter answers GET /dump and GET /debug/vars and leaves other paths to next.
func (h *Handler) Filter(next http.Handler) http.Handler {
	vars := expvar.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/dump":
			h.serveDump(w)
		case "/debug/vars":
			vars.ServeHTTP(w, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (h *Handler) serveDump(w http.ResponseWriter) {
	body, err := json.MarshalIndent(h.dump(), "", "  ")
	if err != nil {
		h.logger.WithError(err).Error("state dump failed")
		http.Error(w, "operator: the state can't be encoded: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
