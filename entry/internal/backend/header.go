package backend

import "net/textproto"

const pathKeys = "/keys/"

// The header fields that a client sets or reads.
const (
	headerClock       = "Bramley-Clock"
	headerFence       = "Bramley-Fence"
	headerIncarnation = "Bramley-Incarnation"
	headerShard       = "Bramley-Shard"
	headerStartBefore = "Bramley-Start-Before"
	headerTimeout     = "Bramley-Timeout"
)

// dropped lists the header fields of a request that are not passed on.
var dropped = map[string]bool{
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
	headerFence:           true,
	headerShard:           true,
	headerStartBefore:     true,
	headerTimeout:         true,
}

// isDropped tells whether a field is not passed on.
func isDropped(name string) bool {
	return dropped[textproto.CanonicalMIMEHeaderKey(name)]
}

// isToken tells whether a method or field name consists of visible characters that cannot end it.
func isToken(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f || s[i] == ':' {
			return false
		}
	}
	return s != ""
}

// isQuery tells whether a raw query fits into a request line.
func isQuery(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f || s[i] == '#' {
			return false
		}
	}
	return true
}

// isValue tells whether a field value fits on a line.
func isValue(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}
