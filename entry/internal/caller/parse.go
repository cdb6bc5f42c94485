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

// Request headers.
const (
	rankHeader       = "Bramley-Rank"
	timeoutHeader    = "Bramley-Timeout"
	ticketHeader     = "Bramley-Ticket"
	wantTicketHeader = "Bramley-Want-Ticket"
)

// maxTimeout is the longest timeout a caller may ask for.
const maxTimeout = time.Hour

// maxKeyBytes is the length of the longest key.
const maxKeyBytes = 1024

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// ownHeaders are set by the system; a caller must not set them at a backend server.
var ownHeaders = []string{
	rankHeader, timeoutHeader, ticketHeader, wantTicketHeader,
	"Bramley-Fence", "Bramley-Shard", "Bramley-Start-Before", "Bramley-Clock", "Bramley-Outcome",
}

// parse turns an HTTP request into a request, or into the answer that refuses it.
func (h *Handler) parse(now time.Time, w http.ResponseWriter, r *http.Request, p path) (*exchange.Request, *exchange.Response) {
	shards, ok := h.catalogue.Shards(p.service)
	if !ok {
		return nil, exchange.Refuse(http.StatusNotFound, fmt.Sprintf("service %q is unknown", p.service))
	}
	if p.key == "" || len(p.key) > maxKeyBytes {
		return nil, exchange.Refuse(http.StatusBadRequest, fmt.Sprintf("key has %d bytes, allowed are 1 to %d", len(p.key), maxKeyBytes))
	}
	if p.ticket && r.Method != http.MethodPost {
		return nil, exchange.Refuse(http.StatusMethodNotAllowed, fmt.Sprintf("method %s, a ticket takes POST", r.Method))
	}
	k, err := requestRank(r, p)
	if err != nil {
		return nil, exchange.Refuse(http.StatusBadRequest, err.Error())
	}
	timeout, err := requestTimeout(r, h.catalogue.Timeout(k))
	if err != nil {
		return nil, exchange.Refuse(http.StatusBadRequest, err.Error())
	}
	request := &exchange.Request{
		Service: p.service, Key: p.key, Shard: shard.Of(p.key, shards), Rank: k,
		Deadline: now.Add(timeout), Ticket: r.Header.Get(ticketHeader),
		WantTicket: r.Header.Get(wantTicketHeader) == "1", TicketOnly: p.ticket,
		Method: r.Method, Query: r.URL.RawQuery, Header: passedHeader(r.Header),
	}
	if k == rank.Confirmation && !p.ticket && request.Ticket == "" {
		return nil, exchange.Refuse(http.StatusPreconditionRequired,
			"a confirmation needs the header Bramley-Ticket; POST /v1/tickets/{service}/{key} returns one")
	}
	if refusal := h.readBody(w, r, request); refusal != nil {
		return nil, refusal
	}
	request.Fingerprint = uint64(suspect.Of(request.Service, request.Key, request.Method, request.Query, request.Prefix))
	return request, nil
}

// readBody reads the start of the body and leaves the rest to be streamed.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, request *exchange.Request) *exchange.Response {
	if request.TicketOnly {
		return nil
	}
	if r.ContentLength > h.bodyLimit {
		return exchange.Refuse(http.StatusRequestEntityTooLarge,
			fmt.Sprintf("body has %d bytes, allowed are at most %d", r.ContentLength, h.bodyLimit))
	}
	if r.ContentLength == 0 {
		return nil
	}
	// A caller that stops sending must not hold a request beyond its deadline. A deadline that is left
	// set would end the connection for later requests.
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(request.Deadline)
	prefix, rest, err := readPrefix(http.MaxBytesReader(w, r.Body, h.bodyLimit), r.ContentLength)
	if rest == nil && err == nil {
		_ = connection.SetReadDeadline(time.Time{})
	}
	if err != nil {
		return exchange.Refuse(http.StatusRequestTimeout, "the body did not arrive whole before the deadline")
	}
	request.Prefix, request.Rest, request.Length = prefix, rest, r.ContentLength
	if rest == nil {
		request.Length = int64(len(prefix))
	}
	return nil
}

func requestRank(r *http.Request, p path) (rank.Rank, error) {
	name := r.Header.Get(rankHeader)
	if p.ticket {
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

func requestTimeout(r *http.Request, byDefault time.Duration) (time.Duration, error) {
	value := r.Header.Get(timeoutHeader)
	if value == "" {
		return byDefault, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeout.Milliseconds() {
		return 0, fmt.Errorf("header %s is %q, allowed are 1 to %d milliseconds", timeoutHeader, value, maxTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// passedHeader returns the headers that reach the backend server.
func passedHeader(in http.Header) http.Header {
	out := make(http.Header, len(in))
	maps.Copy(out, in)
	for _, k := range hopHeaders {
		delete(out, k)
	}
	for _, k := range ownHeaders {
		delete(out, k)
	}
	return out
}
