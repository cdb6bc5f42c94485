// Package configuration defines the objects that operators write: services with
// their upstreams, presets and leaving marks, together with their validation and
// their JSON form on the platform.
//
// The types carry no tags; the codec functions map them to JSON by hand, so that
// a renamed field never changes what is stored.
//
// # Usage
//
//	service, err := configuration.DecodeService(object.Value)
//	if err != nil {
//		return fmt.Errorf("directory: decode service: %w", err)
//	}
package configuration

import (
	"bramleystand.org/common/shard"
)

// Service is a set of keys divided over upstreams.
type Service struct {
	Name      string
	Shards    uint32
	Homes     []Home
	Upstreams []Upstream
}

// HomeOf returns the data centre where a shard is at home, or "" if no range contains it.
func (s *Service) HomeOf(i shard.Shard) string {
	for _, h := range s.Homes {
		if i >= h.First && i <= h.Last {
			return h.DataCentre
		}
	}
	return ""
}
