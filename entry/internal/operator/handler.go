// Package operator serves the HTTP endpoints of the admin address: a dump of the state of
// the process, its metrics, and queries.
//
// # Usage
//
//	handler := operator.New(func() any { return p.Dump(time.Now()) }, map[string]operator.Query{"/where": p.where}, logger)
//	server := khttp.NewServer(khttp.Filter(handler.Filter))
package operator

import (
	"encoding/json"
	"errors"
	"expvar"
	"net/http"
	"net/url"

	"github.com/apex/log"
)

// Query answers a question with a value that encoding/json can encode. An error may be a *QueryError.
type Query func(parameters url.Values) (any, error)

// QueryError is an error with the status of its response.
type QueryError struct {
	Status int
	Text   string
}

// Error implements error.
func (e *QueryError) Error() string { return e.Text }

// Handler serves the admin endpoints.
type Handler struct {
	dump    func() any
	queries map[string]Query
	logger  log.Interface
}

// New returns a handler. The function dump returns the state as a value that encoding/json
// can encode; queries are served at their paths.
func New(dump func() any, queries map[string]Query, logger log.Interface) *Handler {
	return &Handler{dump: dump, queries: queries, logger: logger}
}

// Filter serves /dump, /debug/vars and the queries, and passes requests for other paths to next.
func (h *Handler) Filter(next http.Handler) http.Handler {
	vars := expvar.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/dump":
			h.serveJSON(w, h.dump())
		case "/debug/vars":
			vars.ServeHTTP(w, r)
		default:
			h.serveQuery(w, r, next)
		}
	})
}

// serveQuery answers a query, and passes other requests to next.
func (h *Handler) serveQuery(w http.ResponseWriter, r *http.Request, next http.Handler) {
	query, ok := h.queries[r.URL.Path]
	if !ok {
		next.ServeHTTP(w, r)
		return
	}
	answer, err := query(r.URL.Query())
	if err != nil {
		status := http.StatusInternalServerError
		if e, ok := errors.AsType[*QueryError](err); ok {
			status = e.Status
		}
		http.Error(w, err.Error(), status)
		return
	}
	h.serveJSON(w, answer)
}

// serveJSON writes a value as indented JSON.
func (h *Handler) serveJSON(w http.ResponseWriter, value any) {
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		h.logger.WithError(err).Error("encoding a response to an operator failed")
		http.Error(w, "operator: encode the response: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
