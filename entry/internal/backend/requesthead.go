package backend

import (
	"fmt"
	"net/url"
	"strconv"
	"time"
)

// appendRequestHead appends the request line and the header fields of a request to b. number is that of
// the request on its connection. A zero deadline stands for none.
func appendRequestHead(b []byte, host, path string, r *Request, number uint64, deadline, now time.Time) ([]byte, error) {
	if !isValidToken(r.Method) || !isValidQuery(r.Query) {
		return b, fmt.Errorf("%w: method %q, query %q", ErrInvalid, r.Method, r.Query)
	}
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, path...)
	b = append(b, url.PathEscape(r.Key)...)
	if r.Query != "" {
		b = append(b, '?')
		b = append(b, r.Query...)
	}
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		if isUnforwarded(name) {
			continue
		}
		for _, v := range values {
			if !isValidToken(name) || !isValidHeaderValue(v) {
				return b, fmt.Errorf("%w: header %q: %q", ErrInvalid, name, v)
			}
			b = appendHeader(b, name, v)
		}
	}
	b = appendNumericHeader(b, headerExchange, number)
	if path == keysPath {
		b = appendNumericHeader(b, headerFence, uint64(r.Fence))
		b = appendNumericHeader(b, headerShard, uint64(r.Shard))
	}
	if !r.StartBefore.IsZero() {
		b = appendNumericHeader(b, headerStartBefore, uint64(r.StartBefore.UnixMilli()))
	}
	if !deadline.IsZero() {
		b = appendNumericHeader(b, headerTimeout, uint64(max(0, deadline.Sub(now).Milliseconds())))
	}
	switch {
	case r.Body == nil && r.Method != "POST" && r.Method != "PUT" && r.Method != "PATCH":
	case r.Body == nil:
		b = appendNumericHeader(b, "Content-Length", 0)
	case r.BodyLength < 0:
		b = appendHeader(b, "Transfer-Encoding", "chunked")
	default:
		b = appendNumericHeader(b, "Content-Length", uint64(r.BodyLength))
	}
	return append(b, "\r\n"...), nil
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

func appendNumericHeader(b []byte, name string, value uint64) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = strconv.AppendUint(b, value, 10)
	return append(b, "\r\n"...)
}
