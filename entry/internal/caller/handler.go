// Package caller serves the HTTP interface for clients: requests on keys, tickets
// for final actions, and the health check of the load balancer. A final action is a
// request that must not be executed twice, such as a confirmation.
//
// Every response to a request on a key or for a ticket has the header Bramley-Outcome.
// It tells whether the request was run, was not run, or has an unknown outcome.
//
// # Usage
//
//	handler := caller.New(router, config, bodyLimit, caller.NewResponseCounters(metrics), logger)
//	server := khttp.NewServer(khttp.Timeout(0), khttp.Filter(handler.Filter))
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
	"bramleystand.org/entry/internal/exchange"
)

// Router forwards a request to the leaseholder of its key.
type Router interface {
	Route(ctx context.Context, r *exchange.Request) *exchange.Response
}

// ServiceConfig provides the configuration that is needed to parse a request.
type ServiceConfig interface {
	// Shards returns the number of shards of a service, or false if it is unknown.
	Shards(service string) (uint32, bool)
	// Timeout returns the default timeout of a rank in the active preset.
	Timeout(r rank.Rank) time.Duration
}

// Handler handles the HTTP requests of clients.
type Handler struct {
	router    Router
	config    ServiceConfig
	bodyLimit int64
	counters  *ResponseCounters
	logger    log.Interface
	stopping  atomic.Bool
}

// New returns a handler; bodyLimit is the maximum length of a request body in bytes.
func New(router Router, config ServiceConfig, bodyLimit int64, counters *ResponseCounters, logger log.Interface) *Handler {
	return &Handler{router: router, config: config, bodyLimit: bodyLimit, counters: counters, logger: logger}
}

// Stop makes the health check fail, so that the load balancer sends clients to other entry VMs.
func (h *Handler) Stop() {
	h.stopping.Store(true)
}

// Filter is HTTP middleware that handles the paths of this interface and passes other
// requests to next. It must run before the kratos router, which would redirect a key
// with a double slash; the filter gets the path as the client sent it.
func (h *Handler) Filter(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			h.serveHealth(w)
			return
		}
		p, ok := parsePath(r.URL.EscapedPath())
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		h.serveRequest(w, r, p)
	})
}

func (h *Handler) serveHealth(w http.ResponseWriter) {
	if h.stopping.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (h *Handler) serveRequest(w http.ResponseWriter, r *http.Request, p path) {
	start := time.Now()
	request, refusal := h.parseRequest(start, w, r, p)
	if refusal != nil {
		h.writeResponse(w, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline)
	defer cancel()
	response := h.router.Route(ctx, request)
	defer response.Body.Close()
	if request.BodyRest != nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	if request.TicketOnly && response.Ticket != "" {
		writeTicket(w, response.Ticket)
		return
	}
	h.counters.Count(request.Rank, response.Outcome, time.Since(start))
	h.writeResponse(w, response)
}

// writeTicket writes the response to a request for a ticket.
func writeTicket(w http.ResponseWriter, ticket string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(outcome.Header, outcome.NotRun.String())
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(map[string]string{"ticket": ticket})
}

// writeResponse writes a response. If the body can't be written completely, it aborts the
// connection, so that the client can't mistake the response for a complete one.
func (h *Handler) writeResponse(w http.ResponseWriter, r *exchange.Response) {
	header := w.Header()
	for k, v := range r.Header {
		header[k] = v
	}
	header.Set(outcome.Header, r.Outcome.String())
	if r.Ticket != "" {
		header.Set(ticketHeader, r.Ticket)
	}
	if r.Outcome != outcome.Ran {
		writeError(w, r)
		return
	}
	w.WriteHeader(r.Status)
	if _, err := io.Copy(w, r.Body); err != nil {
		h.logger.WithError(err).Warn("response body was not written completely")
		panic(http.ErrAbortHandler)
	}
}

// writeError writes the response to a request that was not run or has an unknown outcome, with the reason as JSON.
func writeError(w http.ResponseWriter, r *exchange.Response) {
	if !r.RetryAt.IsZero() {
		seconds := max(0, time.Until(r.RetryAt).Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds+0.999)))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Del("Content-Length")
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(map[string]string{"outcome": r.Outcome.String(), "reason": r.Reason})
}

// readBodyPrefix reads up to exchange.BodyPrefixBytes of the body into memory. It also returns a reader for the rest of the
// body, or nil if there is none. length is -1 if it is not known.
func readBodyPrefix(body io.Reader, length int64) ([]byte, io.Reader, error) {
	if length == 0 {
		return nil, nil, nil
	}
	size := int64(exchange.BodyPrefixBytes)
	if length > 0 {
		size = min(size, length)
	}
	prefix := make([]byte, size)
	n, err := io.ReadFull(body, prefix)
	if errors.Is(err, io.EOF) || (errors.Is(err, io.ErrUnexpectedEOF) && length < 0) {
		return prefix[:n], nil, nil
	}
	if err != nil {
		return nil, nil, fmt.Errorf("caller: read body: %w", err)
	}
	if length == size {
		return prefix, nil, nil
	}
	return prefix, body, nil
}
