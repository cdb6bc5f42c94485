package caller

import (
	"net/url"
	"strings"
)

// path is a parsed request path: /v1/keys/{service}/{key} or /v1/tickets/{service}/{key}.
type path struct {
	service string
	key     string
	ticket  bool
}

// parsePath reads an escaped path. A key may hold escaped slashes and further plain ones.
func parsePath(escaped string) (path, bool) {
	rest, isKey := strings.CutPrefix(escaped, "/v1/keys/")
	isTicket := false
	if !isKey {
		rest, isTicket = strings.CutPrefix(escaped, "/v1/tickets/")
	}
	if !isKey && !isTicket {
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
	return path{service: service, key: key, ticket: isTicket}, true
}
