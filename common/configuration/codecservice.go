package configuration

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"bramleystand.org/common/settings"
	"bramleystand.org/common/shard"
)

type serviceJSON struct {
	Name      string          `json:"name"`
	Shards    uint32          `json:"shards"`
	Homes     []homeRangeJSON `json:"homes"`
	Upstreams []upstreamJSON  `json:"upstreams"`
}

type homeRangeJSON struct {
	Centre string `json:"centre"`
	First  uint32 `json:"first"`
	Last   uint32 `json:"last"`
}

type upstreamJSON struct {
	Name        string         `json:"name"`
	Centre      string         `json:"centre"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	Fenced      bool           `json:"fenced"`
}

// DecodeService parses and validates the JSON form of a service.
func DecodeService(data []byte) (Service, error) {
	var w serviceJSON
	if err := settings.Decode(data, &w); err != nil {
		return Service{}, fmt.Errorf("configuration: service: %w", err)
	}
	s := Service{Name: w.Name, Shards: w.Shards}
	for _, h := range w.Homes {
		s.Homes = append(s.Homes, HomeRange{DataCentre: h.Centre, First: shard.Shard(h.First), Last: shard.Shard(h.Last)})
	}
	for _, u := range w.Upstreams {
		s.Upstreams = append(s.Upstreams, Upstream{
			Name: u.Name, DataCentre: u.Centre, Address: u.Address,
			Slots: u.Slots, Connections: u.Connections, Fenced: u.Fenced,
		})
	}
	if err := s.Validate(); err != nil {
		return Service{}, fmt.Errorf("configuration: service %q: %w", s.Name, err)
	}
	return s, nil
}

// EncodeService returns the JSON form of a service.
func EncodeService(s Service) ([]byte, error) {
	w := serviceJSON{Name: s.Name, Shards: s.Shards, Homes: []homeRangeJSON{}, Upstreams: []upstreamJSON{}}
	for _, h := range s.Homes {
		w.Homes = append(w.Homes, homeRangeJSON{Centre: h.DataCentre, First: uint32(h.First), Last: uint32(h.Last)})
	}
	for _, u := range s.Upstreams {
		w.Upstreams = append(w.Upstreams, upstreamJSON{
			Name: u.Name, Centre: u.DataCentre, Address: u.Address,
			Slots: u.Slots, Connections: u.Connections, Fenced: u.Fenced,
		})
	}
	return json.Marshal(w)
}
