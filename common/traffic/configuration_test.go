package traffic_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/traffic"
)

// Guards against a shorter prefix winning over a longer one, against prefixes that match inside a
// path element, and against two routes with the same host and prefix.
func TestMatch(t *testing.T) {
	route := func(name, host, prefix string) traffic.Route {
		return traffic.Route{Name: name, Host: host, Prefix: prefix, Attempts: 1, Timeout: time.Second, WeightedServices: []traffic.WeightedService{{Service: "s", Weight: 1}}}
	}
	c, err := traffic.New(1, []traffic.Route{route("root", "h", "/"), route("a", "h", "/a/"), route("ab", "h", "/a/b/"), route("other", "g", "/a/")},
		map[string]traffic.Service{"s": {Name: "s"}}, traffic.Limits{HeaderBytes: 1, HeaderTimeout: 1, IdleTimeout: 1})
	must.NoError(t, err)
	for path, want := range map[string]string{"/": "root", "/a": "root", "/a/": "a", "/a/b": "a", "/a/b/": "ab", "/a/b/c/d": "ab", "/ab/": "root"} {
		must.Eq(t, want, c.Match("H", path).Name, must.Sprint(path))
	}
	must.Eq(t, "other", c.Match("g:8080", "/a/x").Name)
	must.Nil(t, c.Match("g", "/b/"))
	must.Nil(t, c.Match("unknown", "/a/"))
	_, err = traffic.New(1, []traffic.Route{route("a", "h", "/a/"), route("b", "H", "/a/")}, map[string]traffic.Service{"s": {}}, traffic.Limits{HeaderBytes: 1, HeaderTimeout: 1, IdleTimeout: 1})
	must.ErrorContains(t, err, "same host and prefix")
}
