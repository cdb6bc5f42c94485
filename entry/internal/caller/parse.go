package caller

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"time"

	"bramleystand.org/common/rank"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/exchange"
	"bramleystand.org/entry/internal/suspect"
)

// Request headers that clients may set.
const (
	rankHeader       = "Bramley-Rank"
	timeoutHeader    = "Bramley-Timeout"
	ticketHeader     = "Bramley-Ticket"
	wantTicketHeader = "Bramley-Want-Ticket"
)

// maxTimeout is the longest timeout that a client may request.
const maxTimeout = time.Hour

// maxKeyBytes is the maximum length of a key in bytes.
const maxKeyBytes = 1024

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// reservedHeaders are set by the entry VM only. They are removed from the headers of the client, so that a client
// can't set them at a backend server.
var reservedHeaders = []string{
	rankHeader, timeoutHeader, ticketHeader, wantTicketHeader,
	"Bramley-Fence", "Bramley-Shard", "Bramley-Start-Before", "Bramley-Clock", "Bramley-Outcome",
}

// parseRequest returns the parsed request, or the response that refuses it.
func (h *Handler) parseRequest(now time.Time, w http.ResponseWriter, r *http.Request, p path) (*exchange.Request, *exchange.Response) {
	shards, ok := h.config.Shards(p.service)
	if !ok {
		return nil, exchange.NotRunResponse(http.StatusNotFound, fmt.Sprintf("service %q is unknown", p.service))
	}
	if p.key == "" || len(p.key) > maxKeyBytes {
		return nil, exchange.NotRunResponse(http.StatusBadRequest, fmt.Sprintf("key has %d bytes, allowed are 1 to %d", len(p.key), maxKeyBytes))
	}
	if p.isTicket && r.Method != http.MethodPost {
		return nil, exchange.NotRunResponse(http.StatusMethodNotAllowed, fmt.Sprintf("method is %s, allowed is POST for a ticket", r.Method))
	}
	k, err := parseRank(r, p)
	if err != nil {
		return nil, exchange.NotRunResponse(http.StatusBadRequest, err.Error())
	}
	timeout, err := parseTimeout(r, h.config.Timeout(k))
	if err != nil {
		return nil, exchange.NotRunResponse(http.StatusBadRequest, err.Error())
	}
	request := &exchange.Request{
		Service: p.service, Key: p.key, Shard: shard.Of(p.key, shards), Rank: k,
		Deadline: now.Add(timeout), Ticket: r.Header.Get(ticketHeader),
		WantTicket: r.Header.Get(wantTicketHeader) == "1", TicketOnly: p.isTicket,
		Method: r.Method, Query: r.URL.RawQuery, Header: forwardedHeader(r.Header),
	}
	if k == rank.Confirmation && !p.isTicket && request.Ticket == "" {
		return nil, exchange.NotRunResponse(http.StatusPreconditionRequired,
			"a confirmation needs the header Bramley-Ticket; POST /v1/tickets/{service}/{key} returns one")
	}
	if refusal := h.readBody(w, r, request); refusal != nil {
		return nil, refusal
	}
	request.Fingerprint = uint64(suspect.Of(request.Service, request.Key, request.Method, request.Query, request.BodyPrefix))
	return request, nil
}

// readBody reads the start of the body into the request and leaves the rest to be streamed.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, request *exchange.Request) *exchange.Response {
	if request.TicketOnly {
		return nil
	}
	if r.ContentLength > h.bodyLimit {
		return exchange.NotRunResponse(http.StatusRequestEntityTooLarge,
			fmt.Sprintf("body has %d bytes, at most %d are allowed", r.ContentLength, h.bodyLimit))
	}
	if r.ContentLength == 0 {
		return nil
	}
	// The read deadline keeps a client that stops sending from holding the request beyond its deadline. It is
	// cleared after the body, because otherwise it would break the connection for later requests.
	responseController := http.NewResponseController(w)
	_ = responseController.SetReadDeadline(request.Deadline)
	prefix, rest, err := readBodyPrefix(http.MaxBytesReader(w, r.Body, h.bodyLimit), r.ContentLength)
	if rest == nil && err == nil {
		_ = responseController.SetReadDeadline(time.Time{})
	}
	if err != nil {
		return exchange.NotRunResponse(http.StatusRequestTimeout, "the body did not arrive completely before the deadline")
	}
	request.BodyPrefix, request.BodyRest, request.BodyLength = prefix, rest, r.ContentLength
	if rest == nil {
		request.BodyLength = int64(len(prefix))
	}
	return nil
}

// parseRank returns the rank of a request. Only GET and HEAD have a default, lookup; a request for a ticket always has
// the rank confirmation.
func parseRank(r *http.Request, p path) (rank.Rank, error) {
	name := r.Header.Get(rankHeader)
	if p.isTicket {
		return rank.Confirmation, nil
	}
	if name == "" && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		return rank.Lookup, nil
	}
	if name == "" {
		return 0, fmt.Errorf("header %s is missing, allowed are confirmation, lookup and upload", rankHeader)
	}
	k, err := rank.Parse(name)
	if err != nil {
		return 0, fmt.Errorf("header %s: %w", rankHeader, err)
	}
	return k, nil
}

// parseTimeout returns the timeout that the client requested in milliseconds, or the default.
func parseTimeout(r *http.Request, defaultTimeout time.Duration) (time.Duration, error) {
	value := r.Header.Get(timeoutHeader)
	if value == "" {
		return defaultTimeout, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeout.Milliseconds() {
		return 0, fmt.Errorf("header %s is %q, allowed are 1 to %d milliseconds", timeoutHeader, value, maxTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// forwardedHeader returns the headers that are forwarded to the backend server.
func forwardedHeader(in http.Header) http.Header {
	out := make(http.Header, len(in))
	maps.Copy(out, in)
	for _, k := range hopByHopHeaders {
		delete(out, k)
	}
	for _, k := range reservedHeaders {
		delete(out, k)
	}
	return out
}
