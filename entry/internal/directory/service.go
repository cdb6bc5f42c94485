package directory

import (
	"bramleystand.org/common/configuration"
	"bramleystand.org/entry/internal/control"
)

// routedService is a service with the route of each of its shards.
type routedService struct {
	configuration.Service
	routes []route
}

// route is where the requests for one shard go; placement is nil while no upstream owns the shard.
type route struct {
	placement *control.Placement
	upstream  *configuration.Upstream
}

// newRoutedService computes the routes of a service from the tables of its home data centres.
// A shard is taken only from the table of its home, because the tables of former homes may
// still hold it.
func newRoutedService(s configuration.Service, tables map[control.Pair]*control.Table) *routedService {
	v := &routedService{Service: s, routes: make([]route, s.Shards)}
	upstreams := make(map[string]*configuration.Upstream, len(s.Upstreams))
	for i := range s.Upstreams {
		upstreams[s.Upstreams[i].Name] = &s.Upstreams[i]
	}
	for _, h := range s.Homes {
		t := tables[control.Pair{Service: s.Name, DataCentre: h.DataCentre}]
		if t == nil {
			continue
		}
		for i := range t.Placements {
			p := &t.Placements[i]
			u := upstreams[p.Upstream]
			if u == nil {
				// The upstream was removed from the service; its leaseholder serves its shards until they are moved.
				u = &configuration.Upstream{Name: p.Upstream, DataCentre: h.DataCentre}
			}
			for _, n := range p.Shards {
				if n >= h.First && n <= h.Last && int(n) < len(v.routes) {
					v.routes[n] = route{p, u}
				}
			}
		}
	}
	return v
}
