// Package traffic holds the configuration of the gateway: which services handle which
// requests, with which timeouts and numbers of attempts.
//
// A Configuration is immutable once it has been built, so that request handlers share
// it without a lock. A newer one replaces it as a whole.
//
// # Usage
//
//	c, err := traffic.New(version, routes, services, limits)
//	if err != nil {
//		// Keep the previous configuration in force.
//	}
//	route := c.Match(request.Host, request.URL.Path)
package traffic

import (
	"errors"
	"fmt"
	"math"
	"strings"
)

// Configuration is one version of all routes and services.
type Configuration struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits

	// routes holds the routes by host in lower case and path prefix.
	routes     map[string]map[string]*Route
	routeCount int
}

// New validates and builds a configuration; all problems are reported at once.
func New(version uint64, routes []Route, services map[string]Service, limits Limits) (*Configuration, error) {
	c := &Configuration{Version: version, Services: services, Limits: limits, routes: make(map[string]map[string]*Route), routeCount: len(routes)}
	var problems []error
	for i := range routes {
		r := &routes[i]
		problems = append(problems, validateRoute(r, services))
		host := strings.ToLower(r.Host)
		if c.routes[host] == nil {
			c.routes[host] = make(map[string]*Route)
		}
		if other := c.routes[host][r.Prefix]; other != nil {
			problems = append(problems, fmt.Errorf("traffic: routes %q and %q have the same host and prefix", other.Name, r.Name))
		}
		c.routes[host][r.Prefix] = r
	}
	for name, s := range services {
		if s.ColdRate < 0 || math.IsNaN(s.ColdRate) || math.IsInf(s.ColdRate, 0) {
			problems = append(problems, fmt.Errorf("traffic: service %q: rate %v of cold servers must be finite and not negative", name, s.ColdRate))
		}
	}
	problems = append(problems, validateLimits(limits))
	if err := errors.Join(problems...); err != nil {
		return nil, err
	}
	return c, nil
}

// RouteCount returns the number of routes.
func (c *Configuration) RouteCount() int { return c.routeCount }

// Match returns the route of the host whose prefix is the longest match of the path, or nil.
func (c *Configuration) Match(host, path string) *Route {
	prefixes := c.routes[strings.ToLower(host)]
	if prefixes == nil {
		prefixes = c.routes[strings.ToLower(withoutPort(host))]
	}
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := prefixes[path[:slash+1]]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// withoutPort removes the port from the value of a Host header field.
func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
