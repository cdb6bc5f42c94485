// Package exchange defines a caller's request and its answer as they travel
// inside the system: from the entry VM that has the caller to the leaseholder
// and from there to the backend server.
//
// # Usage
//
//	response := handler.Handle(ctx, &exchange.Request{Service: "seat-desk", Key: "trolley-7"})
//	defer response.Body.Close()
package exchange

import (
	"io"
	"net/http"
	"time"

	"bramleystand.org/common/rank"
	"bramleystand.org/common/shard"
)

// Request is a caller's request.
type Request struct {
	Service  string
	Key      string
	Shard    shard.Shard
	Rank     rank.Rank
	Deadline time.Time
	// Ticket identifies a final action; it is empty for other requests.
	Ticket string
	// WantTicket asks for a new ticket for the key in the answer.
	WantTicket bool
	// TicketOnly asks for a ticket and runs nothing.
	TicketOnly bool
	Method     string
	Query      string
	Header     http.Header
	// Prefix holds the first bytes of the body, up to PrefixBytes.
	Prefix []byte
	// Length is the length of the whole body, or -1 if it is not known.
	Length int64
	// Rest reads what follows Prefix; it is nil if Prefix is the whole body.
	Rest io.Reader
	// Fingerprint identifies the same request sent again.
	Fingerprint uint64
}

// PrefixBytes is the length up to which a body is held in memory, so that it can be sent again.
const PrefixBytes = 64 << 10
