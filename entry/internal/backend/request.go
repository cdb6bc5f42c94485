package backend

import (
	"io"
	"net/http"
	"time"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
)

// Request is a request for a key.
type Request struct {
	Method string
	// Key is the unescaped key; Query is the raw query without its question mark.
	Key   string
	Query string
	// Header is passed on, except for fields that concern the connection or that are set from the fields below.
	Header http.Header
	// Body is nil if there is none. Length is -1 if it is not known.
	Body   io.Reader
	Length int64
	// Fence is 0 for a server that is not fenced.
	Fence fence.Fence
	Shard shard.Shard
	// StartBefore is when the server must not start the request any more; zero for no limit.
	StartBefore time.Time
	// Overdue is when a connection without a byte of the answer may be taken for silent;
	// zero for 300 ms after sending. It must lie well beyond the usual service time.
	Overdue time.Time
}
