// Package gateway serves HTTP to the clients on the users' platform.
//
// It reads a whole request, finds its route, lets the dispatcher bring it to a backend server
// and returns the whole answer. An answer of its own with status 503 is a promise that the
// request was not run and never will be; 502 and 504 promise nothing.
//
// # Usage
//
//	handler := gateway.New(view, dispatcher, fields, demands, counters, logger)
//	server := khttp.NewServer(khttp.Timeout(0), khttp.Filter(handler.Filter))
package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/origin"
	"bramleystand.org/entry/internal/view"
)

const (
	// startRetry is when a client may come back to a process that has no configuration yet.
	startRetry = 300 * time.Millisecond
	// largestBuffered bounds the memory for the bodies of all requests that are being handled.
	largestBuffered = 64 << 20
)

// Dispatcher brings a request to a server.
type Dispatcher interface {
	Do(ctx context.Context, c *dispatch.Call) *dispatch.Result
}

// Demands is told which keys are asked for.
type Demands interface {
	Ask(service string, k keyspace.Key)
}

// Handler answers clients.
type Handler struct {
	view       *view.View
	dispatcher Dispatcher
	fields     Fields
	demands    Demands
	weights    *weights
	counters   *Counters
	logger     log.Interface
	stopping   atomic.Bool
	buffered   atomic.Int64
}

// New returns a handler.
func New(v *view.View, d Dispatcher, f Fields, demands Demands, c *Counters, logger log.Interface) *Handler {
	return &Handler{view: v, dispatcher: d, fields: f, demands: demands, weights: newWeights(), counters: c, logger: logger}
}

// Stop makes every answer close its connection, so that clients go elsewhere.
func (h *Handler) Stop() { h.stopping.Store(true) }

// Filter answers every request; kratos's own routes are not used.
func (h *Handler) Filter(http.Handler) http.Handler { return h }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	// A body in chunks next to a length is a common way to smuggle a second request past a
	// proxy. Nothing that follows such a request on its connection is read.
	if h.stopping.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	configuration := h.view.Configuration()
	if configuration == nil {
		h.refuseUnread(w, r, http.StatusServiceUnavailable, now.Add(startRetry), "no configuration yet")
		return
	}
	c, status, reason := h.parse(now, configuration, r)
	if status != 0 {
		h.refuseUnread(w, r, status, time.Time{}, reason)
		return
	}
	body, status, reason := h.readBody(w, r, configuration.Limits.BodyBytes, c.Deadline)
	defer h.buffered.Add(-int64(cap(body)))
	if status != 0 {
		h.refuseUnread(w, r, status, time.Time{}, reason)
		return
	}
	c.Body, c.HasBody = body, r.ContentLength >= 0 && hasBody(r) || len(body) > 0
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	result := h.dispatcher.Do(ctx, c)
	h.counters.count(c, result, time.Since(now))
	h.logResult(configuration, c, result)
	h.answer(w, r, result)
}

// parse returns the call for a request, or the status and reason of its refusal.
func (h *Handler) parse(now time.Time, configuration *traffic.Configuration, r *http.Request) (*dispatch.Call, int, string) {
	id := h.fields.ID(r.Header)
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(target, "?")
	route := configuration.Match(r.Host, path)
	switch {
	case route == nil:
		return nil, http.StatusNotFound, "no route"
	case id == "":
		return nil, http.StatusBadRequest, "the request has no identifier"
	case r.ContentLength > configuration.Limits.BodyBytes:
		return nil, http.StatusRequestEntityTooLarge, "the body is too large"
	case headerBytes(r) > configuration.Limits.HeaderBytes:
		return nil, http.StatusRequestHeaderFieldsTooLarge, "the head is too large"
	}
	deadline := now.Add(route.Timeout)
	if d, ok := h.fields.Deadline(now, r.Header); ok && d.Before(deadline) {
		deadline = d
	}
	c := &dispatch.Call{
		ID: id, Method: r.Method, Target: target, Host: r.Host, Header: r.Header, Route: route,
		Service: h.weights.pick(route), Arrived: now, Deadline: deadline,
	}
	c.Key, c.HasKey = h.fields.Key(r.Header)
	if c.HasKey && configuration.Services[c.Service].Sharded {
		h.demands.Ask(c.Service, c.Key)
	}
	return c, 0, ""
}

// headerBytes returns the size of the head of a request.
func headerBytes(r *http.Request) int64 {
	n := int64(len(r.Method) + len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		for _, v := range values {
			n += int64(len(name) + len(v) + 4)
		}
	}
	return n
}

// hasBody reports whether the client declared a body, even an empty one.
func hasBody(r *http.Request) bool {
	return r.ContentLength > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch
}

// readBody reads the whole body, until the deadline.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, int, string) {
	if r.ContentLength == 0 {
		return nil, 0, ""
	}
	if h.buffered.Load()+max(0, r.ContentLength) > largestBuffered {
		return nil, http.StatusServiceUnavailable, "too many large bodies"
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(deadline); err != nil {
		h.logger.WithError(err).Warn("no deadline for a body")
	}
	var buffer bytes.Buffer
	if r.ContentLength > 0 {
		buffer.Grow(int(min(r.ContentLength, largestBuffered)) + bytes.MinRead)
	}
	_, err := buffer.ReadFrom(http.MaxBytesReader(w, r.Body, limit))
	body := buffer.Bytes()
	h.buffered.Add(int64(cap(body)))
	if err == nil {
		err = control.SetReadDeadline(time.Time{})
	}
	status, reason := bodyStatus(err)
	return body, status, reason
}

// bodyStatus returns the status for a body that could not be read.
func bodyStatus(err error) (int, string) {
	var large *http.MaxBytesError
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil:
		return 0, ""
	case errors.As(err, &large):
		return http.StatusRequestEntityTooLarge, "the body is too large"
	case errors.As(err, &timeout) && timeout.Timeout():
		return http.StatusRequestTimeout, "the body did not arrive in time"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return http.StatusBadRequest, "the body is incomplete"
	}
	return http.StatusBadRequest, "the body can't be read"
}

// answer writes the final answer.
func (h *Handler) answer(w http.ResponseWriter, r *http.Request, result *dispatch.Result) {
	if result.Response == nil {
		if result.Reason == dispatch.Left || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		h.refuse(w, result.Status, result.RetryAt, string(result.Reason))
		return
	}
	header := w.Header()
	closing := header.Get("Connection")
	for name, values := range result.Response.Header {
		header[name] = values
	}
	origin.StripConnectionFields(header)
	if closing != "" {
		header.Set("Connection", closing)
	}
	if _, ok := header["Content-Type"]; !ok {
		// Without this, net/http would guess one.
		header["Content-Type"] = nil
	}
	status := result.Response.Status
	if isPromise(status) {
		// The server has run the request, but to the client this status means that nobody has.
		h.fields.Repudiate(header)
		status = http.StatusBadGateway
	}
	header.Set("Content-Length", strconv.Itoa(len(result.Response.Body)))
	w.WriteHeader(status)
	if r.Method == http.MethodHead || !bodyAllowed(status) {
		return
	}
	if _, err := w.Write(result.Response.Body); err != nil {
		h.logger.WithError(err).Debug("client left before the end of its answer")
	}
}

// isPromise reports whether a status tells the client that the request was not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// bodyAllowed reports whether an answer of the status may have a body.
func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// refuseUnread refuses a request whose body has not been read. The connection is closed after
// it; net/http would otherwise wait for the body before it sends the answer.
func (h *Handler) refuseUnread(w http.ResponseWriter, r *http.Request, status int, retryAt time.Time, reason string) {
	h.counters.refuse(status, reason)
	h.logRefusal(r, status, reason)
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
	h.refuse(w, status, retryAt, reason)
}

// refuse writes an answer of the process's own.
func (h *Handler) refuse(w http.ResponseWriter, status int, retryAt time.Time, reason string) {
	if status == 0 {
		status = http.StatusBadGateway
	}
	if isPromise(status) && !retryAt.IsZero() {
		w.Header().Set("Retry-After", strconv.FormatFloat(max(0, time.Until(retryAt).Seconds()), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	body := fmt.Sprintf("%s\n", reason)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}
