package backend

import (
	"io"
	"net/http"
	"time"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
)

// Request is a request for a key, a grant or a probe.
type Request struct {
	Method string
	// Key is the unescaped key; Query is the raw query without its question mark.
	Key   string
	Query string
	// Header is passed on, except for fields that concern the connection or that the client
	// sets from the fields below.
	Header http.Header
	// Body is nil if there is none. BodyLength is -1 if it is not known.
	Body       io.Reader
	BodyLength int64
	// Fence is 0 for a server that is not fenced.
	Fence fence.Fence
	Shard shard.Shard
	// StartBefore is the time from which the server must no longer start the request; zero
	// for no limit.
	StartBefore time.Time
	// Overdue is the earliest time at which the connection may count as stalled if no byte of
	// the response has arrived; zero for 300 ms after sending. It must lie well beyond the
	// usual service time.
	Overdue time.Time
}
