package view_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/view"
)

// Guards against requests for a server that has ended, which reach the server of another service at its address.
func TestNextServerAtAddress(t *testing.T) {
	at := func(service, id string, incarnation int64) registry.Server {
		return registry.Server{Instance: registry.Instance{ID: id, Incarnation: incarnation}, Service: service, Address: netip.MustParseAddrPort("10.0.0.1:80")}
	}
	former := at("keyed", "a", 5)
	for _, c := range []struct {
		name  string
		next  registry.Server
		found bool
	}{
		{"later, of another service", at("other", "b", 6), false},
		{"later, of the same service", at("keyed", "b", 6), false},
		{"earlier", at("other", "b", 4), true},
		{"of a service that is not configured", at("unknown", "b", 6), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			v := view.New()
			v.SetConfiguration(&traffic.Configuration{Version: 1, Services: map[string]traffic.Service{"keyed": {Sharded: true}, "other": {}}})
			v.SetServers(now, []registry.Server{former})
			for _, list := range [][]registry.Server{{former, c.next}, {c.next}} {
				v.SetServers(now, list)
				_, found := v.Servers().Find(now, former.Instance)
				must.Eq(t, c.found, found)
				if _, found := v.Servers().Find(now, c.next.Instance); c.next.Incarnation > former.Incarnation {
					must.True(t, found)
				}
			}
		})
	}
}
