// Package exchange defines the internal form of a client's request and of its
// response. The entry VM to which the client is connected sends the request to the
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

// Request is a request of a client.
type Request struct {
	Service  string
	Key      string
	Shard    shard.Shard
	Rank     rank.Rank
	Deadline time.Time
	// Ticket identifies a confirmation, which runs at most once for its ticket; it is empty for other requests.
	Ticket string
	// WantTicket asks for a new ticket for the key, to be returned with the response.
	WantTicket bool
	// TicketOnly asks for a new ticket without running a request at the backend server.
	TicketOnly bool
	Method     string
	Query      string
	Header     http.Header
	// BodyPrefix holds the first bytes of the body, at most BodyPrefixBytes.
	BodyPrefix []byte
	// BodyLength is the length of the whole body in bytes, or -1 if it is not known.
	BodyLength int64
	// BodyRest reads the part of the body after BodyPrefix; it is nil if BodyPrefix is the whole body.
	BodyRest io.Reader
	// Fingerprint is equal for the same request sent again, see package suspect.
	Fingerprint uint64
}

// BodyPrefixBytes is the number of bytes of a body that are kept in memory. Only a body that fits can be sent again.
const BodyPrefixBytes = 64 << 10
