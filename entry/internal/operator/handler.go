// Package operator serves the HTTP endpoints of the admin address: a dump of the state of
// the process, and its metrics.
//
// # Usage
//
//	handler := operator.New(func() any { return p.Dump(time.Now()) }, logger)
//	server := khttp.NewServer(khttp.Filter(handler.Filter))
package operator

import (
	"encoding/json"
	"expvar"
	"net/http"

	"github.com/apex/log"
)

// Handler serves the admin endpoints.
type Handler struct {
	dump   func() any
	logger log.Interface
}

// New returns a handler. The function dump returns the state as a value that encoding/json
// can encode.
func New(dump func() any, logger log.Interface) *Handler {
	return &Handler{dump: dump, logger: logger}
}

// Filter serves /dump and /debug/vars, and passes requests for other paths to next.
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

// serveDump writes the state as indented JSON.
func (h *Handler) serveDump(w http.ResponseWriter) {
	body, err := json.MarshalIndent(h.dump(), "", "  ")
	if err != nil {
		h.logger.WithError(err).Error("encoding the state dump failed")
		http.Error(w, "operator: encode the state dump: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
