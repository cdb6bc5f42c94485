package relay

import (
	"net/http"
	"strings"
	"time"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/origin"
)

// The wire types are encoded as CBOR arrays: the order, number and types of their fields are part of the
// protocol between entry processes. What clients and servers send may be no UTF-8, so it is encoded as
// bytes. Times are relative and in microseconds, because the clocks of two VMs differ.

// wireField is a header field.
type wireField struct {
	_     struct{} `cbor:",toarray"`
	Name  []byte
	Value []byte
}

// wireCall is the first message of a stream, without the body.
type wireCall struct {
	_           struct{} `cbor:",toarray"`
	ID          []byte
	Method      []byte
	Target      []byte
	Host        []byte
	Header      []wireField
	HasBody     bool
	BodyLength  int64
	HasKey      bool
	Key         uint64
	Service     string
	Route       string
	Kind        int
	Rank        int
	Attempts    int
	Objective   int64
	Age         int64
	Left        int64
	Server      string
	Incarnation int64
}

// answerKind tells what an answer means.
type answerKind uint8

const (
	// accepted asks for the body.
	accepted answerKind = iota
	// alive tells that the call still waits or runs.
	alive
	// ended has the result; the body of a response follows.
	ended
)

// wireAnswer is a message from the process that handles a call.
type wireAnswer struct {
	_           struct{} `cbor:",toarray"`
	Kind        uint8
	Status      int
	Reason      string
	HasRetry    bool
	Retry       int64
	Attempts    int
	Server      string
	Cause       string
	HasResponse bool
	Header      []wireField
	BodyLength  int64
}

func encodeHeader(h http.Header) []wireField {
	out := make([]wireField, 0, len(h))
	for name, values := range h {
		for _, v := range values {
			out = append(out, wireField{Name: []byte(name), Value: []byte(v)})
		}
	}
	return out
}

// headBytes returns the size of the fields as header lines.
func headBytes(fields []wireField) int64 {
	var n int64
	for _, f := range fields {
		n += int64(len(f.Name) + len(f.Value) + len(": \r\n"))
	}
	return n
}

func decodeHeader(fields []wireField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[string(f.Name)] = append(h[string(f.Name)], string(f.Value))
	}
	return h
}

// encodeCall returns a call as it is sent now to a process that may send it to the given number of servers.
func encodeCall(now time.Time, c *dispatch.Call, s registry.Instance, attempts int) *wireCall {
	return &wireCall{
		ID: []byte(c.ID), Method: []byte(c.Method), Target: []byte(c.Target), Host: []byte(c.Host), Header: encodeHeader(c.Header),
		HasBody: c.HasBody, BodyLength: int64(len(c.Body)), HasKey: c.HasKey, Key: uint64(c.Key), Service: c.Service,
		Route: c.Route.Name, Kind: int(c.Route.Kind), Rank: c.Route.Rank, Attempts: attempts, Objective: c.Route.Objective.Microseconds(),
		Age: now.Sub(c.Arrived).Microseconds(), Left: c.Deadline.Sub(now).Microseconds(),
		Server: s.ID, Incarnation: s.Incarnation,
	}
}

// decodeCall returns a call that has been received now, without its body, and the server that its sender
// has selected.
func decodeCall(now time.Time, w *wireCall) (*dispatch.Call, registry.Instance) {
	route := &traffic.Route{
		Name: w.Route, Host: string(w.Host), Kind: traffic.Kind(w.Kind), Rank: w.Rank, Attempts: w.Attempts, Objective: microseconds(w.Objective),
		WeightedServices: []traffic.WeightedService{{Service: w.Service, Weight: 1}},
	}
	return &dispatch.Call{
		ID: string(w.ID), Method: string(w.Method), Target: string(w.Target), Host: string(w.Host), Header: decodeHeader(w.Header),
		HasBody: w.HasBody, HasKey: w.HasKey, Key: keyspace.Key(w.Key), Service: w.Service, Route: route,
		Arrived: now.Add(-microseconds(w.Age)), Deadline: now.Add(microseconds(w.Left)),
	}, registry.Instance{ID: w.Server, Incarnation: w.Incarnation}
}

// encodeResult returns a result as it is sent now.
func encodeResult(now time.Time, r *dispatch.Result) *wireAnswer {
	w := &wireAnswer{Kind: uint8(ended), Status: r.Status, Reason: string(r.Reason), Attempts: r.Attempts, Server: r.Server}
	if !r.RetryAt.IsZero() {
		w.HasRetry, w.Retry = true, r.RetryAt.Sub(now).Microseconds()
	}
	if r.Cause != nil {
		w.Cause = strings.ToValidUTF8(r.Cause.Error(), "?")
	}
	if r.Response != nil {
		w.HasResponse, w.Header, w.BodyLength = true, encodeHeader(r.Response.Header), int64(len(r.Response.Body))
	}
	return w
}

// decodeResult returns a result that has been received now, without the body of the response.
func decodeResult(now time.Time, w *wireAnswer) *dispatch.Result {
	r := &dispatch.Result{Status: w.Status, Reason: dispatch.Reason(w.Reason), Attempts: w.Attempts, Server: w.Server}
	if w.HasRetry {
		r.RetryAt = now.Add(microseconds(w.Retry))
	}
	if w.Cause != "" {
		r.Cause = remoteError(w.Cause)
	}
	if w.HasResponse {
		r.Response = &origin.Response{Status: w.Status, Header: decodeHeader(w.Header), HasServerProof: true}
	}
	return r
}

// microseconds converts a time of a message, which is in microseconds.
func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// remoteError is the cause of a result in another process.
type remoteError string

// Error implements error.
func (e remoteError) Error() string { return string(e) }
