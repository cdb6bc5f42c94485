// Package gateway serves the HTTP requests of clients on the users' platform.
//
// The handler reads the whole request, finds its route, passes it to the dispatcher, which sends
// it to a backend server, and returns the whole response. A 503 that the gateway itself returns
// guarantees that the request was not run and never will be; a 502 or 504 guarantees nothing.
//
// # Usage
//
//	handler := gateway.New(view, dispatcher, fields, loadCollector, counters, bounds, logger)
//	server := httpserver.New(listener, handler, limits, heads, ahead, logger)
package gateway

import (
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
	"bramleystand.org/entry/internal/bodybudget"
	"bramleystand.org/entry/internal/bounds"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/origin"
	"bramleystand.org/entry/internal/view"
)

const (
	// unconfiguredRetryDelay is the Retry-After time of a process that has no configuration yet.
	unconfiguredRetryDelay = 300 * time.Millisecond
	// noRoomRetryDelay is the Retry-After time of a request whose body finds no room.
	noRoomRetryDelay = 500 * time.Millisecond
)

// Dispatcher sends a request to a backend server and returns the final result.
type Dispatcher interface {
	Do(ctx context.Context, c *dispatch.Call) *dispatch.Result
}

// LoadRecorder records for which keys of a sharded service there are requests.
type LoadRecorder interface {
	RecordRequest(service string, k keyspace.Key)
}

// Handler serves the requests of clients.
type Handler struct {
	view         *view.View
	bounds       bounds.Bounds
	dispatcher   Dispatcher
	fields       HeaderFields
	loadRecorder LoadRecorder
	roundRobin   *roundRobin
	counters     *Counters
	logger       log.Interface
	active       *activeCalls
	bodyReads    *bodyReads
	stopping     atomic.Bool
	// bodyMemory and responseMemory are the budgets for the bodies of requests and responses.
	bodyMemory     *bodybudget.Budget
	responseMemory *bodybudget.Budget
}

// New returns a handler that answers 503 until the view has a configuration.
func New(v *view.View, d Dispatcher, f HeaderFields, loadRecorder LoadRecorder, c *Counters, b bounds.Bounds, logger log.Interface) *Handler {
	return &Handler{view: v, dispatcher: d, fields: f, loadRecorder: loadRecorder, roundRobin: newRoundRobin(), counters: c, logger: logger, active: newActiveCalls(), bodyReads: newBodyReads(), bounds: b, bodyMemory: bodybudget.New(b.Bodies(0)), responseMemory: bodybudget.New(b.Responses())}
}

// Stop makes every response close its connection, so that clients connect to another process. Requests whose body has
// not arrived when they can't be sent to a server any more are refused.
func (h *Handler) Stop(s dispatch.Shutdown) {
	h.stopping.Store(true)
	if err := h.bodyReads.limitTo(s.LatestArrival); err != nil {
		h.logger.WithError(err).Warn("read deadline of a body not set")
	}
}

// AllowsAhead reports whether a request that was sent ahead may be handled beside those before it. It may unless it
// must run once at most: the response to an earlier one may close the connection, and the client then sends it again.
func (h *Handler) AllowsAhead(r *http.Request) bool {
	configuration := h.view.Configuration()
	if configuration == nil {
		return false
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := configuration.Match(r.Host, path)
	return route == nil || route.Kind.Retryable()
}

// Memory returns the bytes that are reserved for bodies of requests and responses, for metrics.
func (h *Handler) Memory() map[string]int64 {
	return map[string]int64{"requests": h.bodyMemory.Used(), "responses": h.responseMemory.Used(), "stalled": h.bodyReads.stalledCount()}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	// A request with both a chunked body and a Content-Length is a common way to smuggle a second
	// request past a proxy, so nothing that follows a chunked request on its connection is read.
	if h.stopping.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	configuration := h.view.Configuration()
	if configuration == nil {
		h.refuseUnread(w, r, http.StatusServiceUnavailable, now.Add(unconfiguredRetryDelay), "no configuration yet")
		return
	}
	c, status, reason := h.parse(now, configuration, r)
	if status != 0 {
		h.refuseUnread(w, r, status, time.Time{}, reason)
		return
	}
	c.SetPhase(dispatch.AwaitsBody, "")
	h.active.add(c)
	defer h.active.remove(c)
	h.bodyMemory.SetLimit(h.bounds.Bodies(configuration.Limits.BodyBytes))
	memory := h.bodyMemory.Open()
	defer memory.Close()
	body, status, reason := h.readBody(w, r, configuration.Limits.BodyBytes, c.Deadline, memory)
	if status != 0 {
		h.refuseUnread(w, r, status, time.Now().Add(noRoomRetryDelay), reason)
		return
	}
	c.Body, c.HasBody = body, r.ContentLength >= 0 && declaresBody(r) || len(body) > 0
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	c.Memory = h.responseMemory.Open()
	defer c.Memory.Close()
	result := h.dispatcher.Do(ctx, c)
	h.counters.recordResult(c, result, time.Since(now))
	h.logResult(configuration, c, result)
	h.respond(w, r, result)
}

// parse converts a request without its body to a call, or returns the status and reason of its refusal.
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
	case headSize(r) > configuration.Limits.HeaderBytes:
		return nil, http.StatusRequestHeaderFieldsTooLarge, "the head is too large"
	}
	deadline := now.Add(route.Timeout)
	if d, ok := h.fields.Deadline(now, r.Header); ok && d.Before(deadline) {
		deadline = d
	}
	c := &dispatch.Call{
		ID: id, Method: r.Method, Target: target, Host: r.Host, Header: r.Header, Route: route,
		Service: h.roundRobin.pick(route), Arrived: now, Deadline: deadline,
	}
	c.Key, c.HasKey = h.fields.Key(r.Header)
	if c.HasKey && configuration.Services[c.Service].Sharded {
		h.loadRecorder.RecordRequest(c.Service, c.Key)
	}
	return c, 0, ""
}

// headSize returns the size of the request line and the header fields in bytes.
func headSize(r *http.Request) int64 {
	n := int64(len(r.Method) + len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		for _, v := range values {
			n += int64(len(name) + len(v) + 4)
		}
	}
	return n
}

// declaresBody reports whether the client declared a body, even an empty one.
func declaresBody(r *http.Request) bool {
	return r.ContentLength > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch
}

// readBody reads the whole body into memory that it reserves in the account. It returns the status and reason of
// the refusal if the body is too large, malformed or not complete by the deadline, or if it finds no room.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time, memory *bodybudget.Account) ([]byte, int, string) {
	if r.ContentLength == 0 {
		return nil, 0, ""
	}
	size := r.ContentLength
	if size < 0 {
		size = limit
	}
	controller := http.NewResponseController(w)
	read, err := h.bodyReads.begin(controller, deadline)
	if err != nil {
		h.logger.WithError(err).Warn("read deadline of a body not set")
	}
	body, err := h.readAll(http.MaxBytesReader(w, r.Body, limit), size, memory, read)
	h.bodyReads.end(controller)
	if err == nil {
		err = controller.SetReadDeadline(time.Time{})
	}
	status, reason := bodyErrorStatus(err)
	return body, status, reason
}

// bodyErrorStatus returns the status and reason of the refusal for an error of reading a body, or zero
// if there is no error.
func bodyErrorStatus(err error) (int, string) {
	var tooLarge *http.MaxBytesError
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil:
		return 0, ""
	case errors.Is(err, errNoRoom):
		return http.StatusServiceUnavailable, "no room for the body"
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, "the body is too large"
	case errors.As(err, &timeout) && timeout.Timeout():
		return http.StatusRequestTimeout, "the body did not arrive in time"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return http.StatusBadRequest, "the body is incomplete"
	}
	return http.StatusBadRequest, "the body can't be read"
}

// respond writes the response of the backend server, or a refusal if there is none.
func (h *Handler) respond(w http.ResponseWriter, r *http.Request, result *dispatch.Result) {
	if result.Response == nil {
		if result.Reason == dispatch.ClientDisconnected || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		h.refuse(w, result.Status, result.RetryAt, string(result.Reason))
		return
	}
	header := w.Header()
	connection := header.Get("Connection")
	for name, values := range result.Response.Header {
		header[name] = values
	}
	origin.StripConnectionFields(header)
	if connection != "" {
		header.Set("Connection", connection)
	}
	if _, ok := header["Content-Type"]; !ok {
		// Otherwise net/http would guess a content type.
		header["Content-Type"] = nil
	}
	status := result.Response.Status
	if meansNotRun(status) {
		// The server has run the request, but the client would take this status to mean that it was
		// not run. Its Retry-After is for this process.
		h.fields.RemoveProof(header)
		header.Del("Retry-After")
		status = http.StatusBadGateway
	}
	header.Set("Content-Length", strconv.Itoa(len(result.Response.Body)))
	w.WriteHeader(status)
	if r.Method == http.MethodHead || !bodyAllowed(status) {
		return
	}
	if _, err := w.Write(result.Response.Body); err != nil {
		h.logger.WithError(err).Debug("client disconnected before the end of the response")
	}
}

// meansNotRun reports whether a status guarantees to the client that the request was not run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// bodyAllowed reports whether a response with the status may have a body.
func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// refuseUnread refuses a request whose body has not been read to its end. It closes the connection,
// because net/http would otherwise wait for the body before it sends the response.
func (h *Handler) refuseUnread(w http.ResponseWriter, r *http.Request, status int, retryAt time.Time, reason string) {
	h.counters.refuse(status, reason)
	h.logRefusal(r, status, reason)
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
	h.refuse(w, status, retryAt, reason)
}

// refuse writes a response of the gateway itself, with the reason as its body.
func (h *Handler) refuse(w http.ResponseWriter, status int, retryAt time.Time, reason string) {
	if status == 0 {
		status = http.StatusBadGateway
	}
	if meansNotRun(status) && !retryAt.IsZero() {
		w.Header().Set("Retry-After", strconv.FormatFloat(max(0, time.Until(retryAt).Seconds()), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	body := fmt.Sprintf("%s\n", reason)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}
