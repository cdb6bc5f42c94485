// Package exchange defines the internal form of a caller's request and of its
// answer. The entry VM to which the caller is connected sends the request to the
// leaseholder of its key, the entry VM that may use the key's backend server; the
// leaseholder sends it on to that server.
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

// Request is a request of a caller.
type Request struct {
	Service  string
	Key      string
	Shard    shard.Shard
	Rank     rank.Rank
	Deadline time.Time
	// Ticket identifies a confirmation, which runs at most once for its ticket; it is empty for other requests.
	Ticket string
	// WantTicket asks for a new ticket for the key, to be returned with the answer.
	WantTicket bool
	// TicketOnly asks for a new ticket without running a request at the backend server.
	TicketOnly bool
	Method     string
	Query      string
	Header     http.Header
	// Prefix holds the first bytes of the body, at most PrefixBytes.
	Prefix []byte
	// Length is the length of the whole body in bytes, or -1 if it is not known.
	Length int64
	// Rest reads the part of the body after Prefix; it is nil if Prefix is the whole body.
	Rest io.Reader
	// Fingerprint is equal for the same request sent again, see package suspect.
	Fingerprint uint64
}

// PrefixBytes is the number of bytes of a body that are kept in memory. Only a body that fits can be sent again.
const PrefixBytes = 64 << 10
