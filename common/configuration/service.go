// Package configuration defines the objects that operators write: services with
// their upstreams, presets and leaving marks, together with their validation and
// their JSON form on the platform.
//
// The types carry no JSON tags. The codec functions convert them to and from types of their
// own for JSON, so that renaming a field never changes what is stored.
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

// Service is a service whose keys are divided into shards, with the upstreams that serve them.
type Service struct {
	Name string
	// Shards is the number of shards, a power of two.
	Shards uint32
	// Homes assigns every shard to exactly one data centre.
	Homes     []HomeRange
	Upstreams []Upstream
}

// HomeDataCentre returns the home data centre of a shard, or "" if no range contains it.
func (s *Service) HomeDataCentre(i shard.Shard) string {
	for _, h := range s.Homes {
		if i >= h.First && i <= h.Last {
			return h.DataCentre
		}
	}
	return ""
}
