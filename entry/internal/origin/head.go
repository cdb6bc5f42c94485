package origin

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// connectionFields are the header fields that apply to a single connection and are not forwarded.
var connectionFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true, "Te": true,
	"Trailer": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// StripConnectionFields removes the header fields that apply to a single connection, including
// those that are listed in the Connection field.
func StripConnectionFields(h http.Header) {
	for _, name := range listedFields(h) {
		delete(h, name)
	}
	for name := range connectionFields {
		delete(h, name)
	}
}

// listedFields returns the names of the header fields that the Connection field lists.
func listedFields(h http.Header) []string {
	var names []string
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// appendHead appends the head of a request to b: request line, header fields and the empty line.
// The fields of a single connection and those that AddRequestFields sets are not copied from the client.
func appendHead(b []byte, f HeaderFields, r *Request, now time.Time) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	add := func(name, value string) {
		b = append(b, name...)
		b = append(b, ": "...)
		b = append(b, value...)
		b = append(b, "\r\n"...)
	}
	add("Host", r.Host)
	listed := listedFields(r.Header)
	for name, values := range r.Header {
		if connectionFields[name] || f.IsSetByProxy(name) || slices.Contains(listed, name) {
			continue
		}
		for _, v := range values {
			add(name, v)
		}
	}
	f.AddRequestFields(add, r.Deadline.Sub(now), r.Server)
	if r.HasBody || len(r.Body) > 0 {
		add("Content-Length", strconv.Itoa(len(r.Body)))
	}
	return append(b, "\r\n"...)
}
