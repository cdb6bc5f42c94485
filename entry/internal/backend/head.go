package backend

import (
	"fmt"
	"net/url"
	"strconv"
	"time"
)

// appendHead appends the head of a request; a zero deadline stands for none.
func appendHead(b []byte, host, path string, r *Request, deadline, now time.Time) ([]byte, error) {
	if !isToken(r.Method) || !isQuery(r.Query) {
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
		if isDropped(name) {
			continue
		}
		for _, v := range values {
			if !isToken(name) || !isValue(v) {
				return b, fmt.Errorf("%w: header %q: %q", ErrInvalid, name, v)
			}
			b = appendField(b, name, v)
		}
	}
	if path == pathKeys {
		b = appendNumber(b, headerFence, uint64(r.Fence))
		b = appendNumber(b, headerShard, uint64(r.Shard))
	}
	if !r.StartBefore.IsZero() {
		b = appendNumber(b, headerStartBefore, uint64(r.StartBefore.UnixMilli()))
	}
	if !deadline.IsZero() {
		b = appendNumber(b, headerTimeout, uint64(max(0, deadline.Sub(now).Milliseconds())))
	}
	switch {
	case r.Body == nil && r.Method != "POST" && r.Method != "PUT" && r.Method != "PATCH":
	case r.Body == nil:
		b = appendNumber(b, "Content-Length", 0)
	case r.Length < 0:
		b = appendField(b, "Transfer-Encoding", "chunked")
	default:
		b = appendNumber(b, "Content-Length", uint64(r.Length))
	}
	return append(b, "\r\n"...), nil
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

func appendNumber(b []byte, name string, value uint64) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = strconv.AppendUint(b, value, 10)
	return append(b, "\r\n"...)
}
