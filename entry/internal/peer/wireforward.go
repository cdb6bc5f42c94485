package peer

import (
	"net/http"
	"time"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/exchange"
)

// chunkBytes is the largest size of a body chunk on the wire.
const chunkBytes = 32 << 10

// wireRequest is the first message of a Forward stream. It carries a relative timeout
// instead of a deadline, because the clocks of two VMs differ.
type wireRequest struct {
	_           struct{} `cbor:",toarray"`
	Service     string
	Key         string
	Shard       uint32
	Rank        uint8
	Timeout     int64
	Ticket      string
	WantTicket  bool
	TicketOnly  bool
	Method      string
	Query       string
	Header      http.Header
	BodyPrefix  []byte
	BodyLength  int64
	HasBodyRest bool
	Fingerprint uint64
}

// wireResponse is the first message of a response. Before it, messages with only one field
// set may be sent: Continue asks for the rest of the request body, and KeepAlive tells that
// the request is still being handled.
type wireResponse struct {
	_             struct{} `cbor:",toarray"`
	Continue      bool
	KeepAlive     bool
	Outcome       uint8
	Status        int
	Header        http.Header
	Reason        string
	RetryAfter    int64
	Reroute       bool
	Ticket        string
	ServerCrashed bool
	Data          []byte
	Last          bool
}

// wireChunk is a chunk of a body. A body that does not end with a Last chunk is truncated.
type wireChunk struct {
	_      struct{} `cbor:",toarray"`
	Data   []byte
	Last   bool
	Failed bool
}

func encodeRequest(now time.Time, r *exchange.Request) *wireRequest {
	return &wireRequest{
		Service:     r.Service,
		Key:         r.Key,
		Shard:       uint32(r.Shard),
		Rank:        uint8(r.Rank),
		Timeout:     int64(r.Deadline.Sub(now)),
		Ticket:      r.Ticket,
		WantTicket:  r.WantTicket,
		TicketOnly:  r.TicketOnly,
		Method:      r.Method,
		Query:       r.Query,
		Header:      r.Header,
		BodyPrefix:  r.BodyPrefix,
		BodyLength:  r.BodyLength,
		HasBodyRest: r.BodyRest != nil,
		Fingerprint: r.Fingerprint,
	}
}

func decodeRequest(now time.Time, w *wireRequest) *exchange.Request {
	return &exchange.Request{
		Service:     w.Service,
		Key:         w.Key,
		Shard:       shard.Shard(w.Shard),
		Rank:        rank.Rank(w.Rank),
		Deadline:    now.Add(time.Duration(w.Timeout)),
		Ticket:      w.Ticket,
		WantTicket:  w.WantTicket,
		TicketOnly:  w.TicketOnly,
		Method:      w.Method,
		Query:       w.Query,
		Header:      w.Header,
		BodyPrefix:  w.BodyPrefix,
		BodyLength:  w.BodyLength,
		Fingerprint: w.Fingerprint,
	}
}

func encodeResponse(now time.Time, r *exchange.Response) *wireResponse {
	w := &wireResponse{
		Outcome:       uint8(r.Outcome),
		Status:        r.Status,
		Header:        r.Header,
		Reason:        r.Reason,
		Reroute:       r.Reroute,
		Ticket:        r.Ticket,
		ServerCrashed: r.ServerCrashed,
	}
	if !r.RetryAt.IsZero() {
		w.RetryAfter = max(1, int64(r.RetryAt.Sub(now)))
	}
	return w
}

func decodeResponse(now time.Time, w *wireResponse) *exchange.Response {
	r := &exchange.Response{
		Outcome:       outcome.Outcome(w.Outcome),
		Status:        w.Status,
		Header:        w.Header,
		Reason:        w.Reason,
		Reroute:       w.Reroute,
		Ticket:        w.Ticket,
		ServerCrashed: w.ServerCrashed,
	}
	if w.RetryAfter > 0 {
		r.RetryAt = now.Add(time.Duration(w.RetryAfter))
	}
	return r
}
