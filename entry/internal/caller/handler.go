// Package caller serves the HTTP interface for callers: requests on keys, tickets
// for final actions and the health check of the balancer.
//
// Every answer carries the header Bramley-Outcome, which tells apart a request that
// was run, one that was not run, and one whose outcome is unknown.
//
// # Usage
//
//	handler := caller.New(router, catalogue, limits, logger)
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

// Router brings a request to the leaseholder of its key.
type Router interface {
	Route(ctx context.Context, r *exchange.Request) *exchange.Response
}

// Catalogue tells what a parsed request needs to know of the configuration.
type Catalogue interface {
	// Shards returns the number of shards of a service, or false if it is unknown.
	Shards(service string) (uint32, bool)
	// Timeout returns the default timeout of a rank in the preset in force.
	Timeout(r rank.Rank) time.Duration
}

// Handler answers callers.
type Handler struct {
	router    Router
	catalogue Catalogue
	bodyLimit int64
	counters  *Counters
	logger    log.Interface
	stopping  atomic.Bool
}

// New returns a handler; bodyLimit is the longest request body in bytes.
func New(router Router, catalogue Catalogue, bodyLimit int64, counters *Counters, logger log.Interface) *Handler {
	return &Handler{router: router, catalogue: catalogue, bodyLimit: bodyLimit, counters: counters, logger: logger}
}

// Stop makes the health check fail, so that the balancer sends callers elsewhere.
func (h *Handler) Stop() {
	h.stopping.Store(true)
}

// Filter puts the handler in front of kratos's own routes. It sees the path as it
// was sent; the routes of kratos would redirect a key with a double slash.
func (h *Handler) Filter(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			h.health(w)
			return
		}
		p, ok := parsePath(r.URL.EscapedPath())
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		h.serve(w, r, p)
	})
}

func (h *Handler) health(w http.ResponseWriter) {
	if h.stopping.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, p path) {
	start := time.Now()
	request, refusal := h.parse(start, w, r, p)
	if refusal != nil {
		h.write(w, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline)
	defer cancel()
	response := h.router.Route(ctx, request)
	defer response.Body.Close()
	if request.Rest != nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	if request.TicketOnly && response.Ticket != "" {
		writeTicket(w, response.Ticket)
		return
	}
	h.counters.Count(request.Rank, response.Outcome, time.Since(start))
	h.write(w, response)
}

func writeTicket(w http.ResponseWriter, ticket string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(outcome.Header, outcome.NotRun.String())
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(map[string]string{"ticket": ticket})
}

// write sends an answer. A body that breaks off ends the connection, so that the
// caller can't take it as whole.
func (h *Handler) write(w http.ResponseWriter, r *exchange.Response) {
	header := w.Header()
	for k, v := range r.Header {
		header[k] = v
	}
	header.Set(outcome.Header, r.Outcome.String())
	if r.Ticket != "" {
		header.Set(ticketHeader, r.Ticket)
	}
	if r.Outcome != outcome.Ran {
		writeReason(w, r)
		return
	}
	w.WriteHeader(r.Status)
	if _, err := io.Copy(w, r.Body); err != nil {
		h.logger.WithError(err).Warn("answer broke off")
		panic(http.ErrAbortHandler)
	}
}

func writeReason(w http.ResponseWriter, r *exchange.Response) {
	if !r.RetryAt.IsZero() {
		seconds := max(0, time.Until(r.RetryAt).Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds+0.999)))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Del("Content-Length")
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(map[string]string{"outcome": r.Outcome.String(), "reason": r.Reason})
}

// readPrefix reads the first bytes of the body into memory and returns the rest, or nil if there is none.
func readPrefix(body io.Reader, length int64) ([]byte, io.Reader, error) {
	if length == 0 {
		return nil, nil, nil
	}
	size := int64(exchange.PrefixBytes)
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
