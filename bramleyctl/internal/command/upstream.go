package command

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"

	"bramleystand.org/bramleyctl/internal/objectstore"
	"bramleystand.org/common/configuration"
	"bramleystand.org/common/platform"
)

type upstreamCommands struct {
	List   upstreamListCommand   `cmd:"" help:"List the upstreams of a service."`
	Add    upstreamAddCommand    `cmd:"" help:"Add an upstream to a service."`
	Remove upstreamRemoveCommand `cmd:"" help:"Remove an upstream from a service."`
}

type upstreamListCommand struct {
	Service string `arg:"" help:"Name of the service."`
}

// Run prints one line per upstream.
func (c upstreamListCommand) Run(s *session) error {
	v, o, err := s.readService(c.Service)
	if err != nil {
		return err
	}
	if s.commandLine.JSON {
		var service struct {
			Upstreams json.RawMessage `json:"upstreams"`
		}
		if err := json.Unmarshal(o.Value, &service); err != nil {
			return fmt.Errorf("print upstreams: %w", err)
		}
		return s.printJSON(service.Upstreams)
	}
	rows := [][]any{{"UPSTREAM", "CENTRE", "ADDRESS", "SLOTS", "CONNECTIONS", "FENCED"}}
	for _, u := range v.Upstreams {
		rows = append(rows, []any{u.Name, u.DataCentre, u.Address, u.Slots, u.Connections, u.Fenced})
	}
	return s.printTable(rows)
}

type upstreamAddCommand struct {
	Service     string         `arg:"" help:"Name of the service."`
	Name        string         `arg:"" help:"Name of the upstream."`
	Centre      string         `help:"Data centre." required:""`
	Address     netip.AddrPort `help:"IP address and port." required:""`
	Slots       int            `help:"Number of requests that may run at once." required:""`
	Connections int            `help:"Maximum number of connections." required:""`
	Fenced      bool           `help:"Whether the server checks grants."`
}

// Run adds the upstream; the controller then moves shards to it step by step.
func (c upstreamAddCommand) Run(s *session) error {
	added := configuration.Upstream{
		Name: c.Name, DataCentre: c.Centre, Address: c.Address,
		Slots: c.Slots, Connections: c.Connections, Fenced: c.Fenced,
	}
	return s.editService(c.Service, "added "+c.Name, func(v *configuration.Service) error {
		v.Upstreams = append(v.Upstreams, added)
		return nil
	})
}

type upstreamRemoveCommand struct {
	Service string `arg:"" help:"Name of the service."`
	Name    string `arg:"" help:"Name of the upstream."`
}

// Run removes the upstream; the controller then moves its shards to others.
func (c upstreamRemoveCommand) Run(s *session) error {
	return s.editService(c.Service, "removed "+c.Name, func(v *configuration.Service) error {
		i := slices.IndexFunc(v.Upstreams, func(u configuration.Upstream) bool { return u.Name == c.Name })
		if i < 0 {
			return fmt.Errorf("%w: service %s has no upstream %q", errInvalid, c.Service, c.Name)
		}
		v.Upstreams = slices.Delete(v.Upstreams, i, i+1)
		return nil
	})
}

// editService changes an existing service.
func (s *session) editService(service, done string, edit func(*configuration.Service) error) error {
	name := configuration.ServiceObject(service)
	return s.changeObject(name, done, func(o platform.Object) ([]byte, error) {
		if !objectstore.Exists(o) {
			return nil, notFoundError(name)
		}
		v, err := configuration.DecodeService(o.Value)
		if err != nil {
			return nil, err
		}
		if err := edit(&v); err != nil {
			return nil, err
		}
		return encodeService(o, v)
	})
}
