package backend

import "net/textproto"

const keysPath = "/keys/"

// Header fields that the client sets or reads.
const (
	headerClock       = "Bramley-Clock"
	headerExchange    = "Bramley-Exchange"
	headerFence       = "Bramley-Fence"
	headerIncarnation = "Bramley-Incarnation"
	headerShard       = "Bramley-Shard"
	headerStartBefore = "Bramley-Start-Before"
	headerTimeout     = "Bramley-Timeout"
)

// unforwardedHeaders lists the header fields of a request that are not passed on: those
// that concern the connection on which it arrived and those that Client sets itself.
var unforwardedHeaders = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	headerExchange:        true,
	headerFence:           true,
	headerShard:           true,
	headerStartBefore:     true,
	headerTimeout:         true,
}

// isUnforwarded reports whether a header field is not passed on.
func isUnforwarded(name string) bool {
	return unforwardedHeaders[textproto.CanonicalMIMEHeaderKey(name)]
}

// isValidToken reports whether a method or header name is not empty and consists of visible
// ASCII characters without a colon, so that it can't end early in the request.
func isValidToken(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f || s[i] == ':' {
			return false
		}
	}
	return s != ""
}

// isValidQuery reports whether a raw query has no character that would end it in the request line.
func isValidQuery(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f || s[i] == '#' {
			return false
		}
	}
	return true
}

// isValidHeaderValue reports whether a header value has no control character except tabs,
// so that it can't end its line.
func isValidHeaderValue(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}
