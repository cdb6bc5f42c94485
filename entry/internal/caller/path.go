package caller

import (
	"net/url"
	"strings"
)

// path is a parsed request path: /v1/keys/{service}/{key} or /v1/tickets/{service}/{key}.
type path struct {
	service  string
	key      string
	isTicket bool
}

// parsePath parses an escaped path, and returns false if it is no path of this interface. A key may contain slashes,
// escaped or not.
func parsePath(escaped string) (path, bool) {
	rest, keyPath := strings.CutPrefix(escaped, "/v1/keys/")
	ticketPath := false
	if !keyPath {
		rest, ticketPath = strings.CutPrefix(escaped, "/v1/tickets/")
	}
	if !keyPath && !ticketPath {
		return path{}, false
	}
	service, key, _ := strings.Cut(rest, "/")
	service, err := url.PathUnescape(service)
	if err != nil {
		return path{}, false
	}
	key, err = url.PathUnescape(key)
	if err != nil {
		return path{}, false
	}
	return path{service: service, key: key, isTicket: ticketPath}, true
}
