package traffic

import "time"

// Limits bound what a client may send.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of a request's header and body.
	HeaderBytes int64
	BodyBytes   int64
	// HeaderTimeout is the maximum time for reading a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept open.
	IdleTimeout time.Duration
}
