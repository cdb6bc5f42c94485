package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"bramleystand.org/bramleyctl/internal/store"
	"bramleystand.org/common/configuration"
	"bramleystand.org/common/platform"
)

type serviceCommands struct {
	List   serviceList   `cmd:"" help:"List all services."`
	Show   serviceShow   `cmd:"" help:"Print a service as JSON."`
	Apply  serviceApply  `cmd:"" help:"Create or replace a service from a JSON file."`
	Delete serviceDelete `cmd:"" help:"Delete a service."`
}

type serviceList struct{}

// Run prints one line per service.
func (serviceList) Run(s *session) error {
	objects, err := s.list(configuration.ServicePrefix)
	if err != nil {
		return err
	}
	if s.line.JSON {
		return s.json(values(objects))
	}
	rows := [][]any{{"SERVICE", "SHARDS", "UPSTREAMS", "CENTRES", "VERSION", "AUTHOR"}}
	for _, o := range objects {
		v, err := configuration.DecodeService(o.Value)
		if err != nil {
			rows = append(rows, []any{o.Name, "invalid: " + err.Error(), "", "", o.Version, o.Author})
			continue
		}
		rows = append(rows, []any{v.Name, v.Shards, len(v.Upstreams), strings.Join(centres(v), ","), o.Version, o.Author})
	}
	return s.table(rows)
}

type serviceShow struct {
	Name string `arg:"" help:"Name of the service."`
}

// Run prints the object, in a form that apply accepts.
func (c serviceShow) Run(s *session) error {
	_, o, err := s.service(c.Name)
	if err != nil {
		return err
	}
	return s.json(json.RawMessage(o.Value))
}

type serviceApply struct {
	File    string `arg:"" help:"JSON file of the service."`
	Version *int64 `help:"Version that the file was made from; another one in force counts as a lost race."`
}

// Run checks the file and writes it.
func (c serviceApply) Run(s *session) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	v, err := configuration.DecodeService(data)
	if err != nil {
		return fmt.Errorf("%w: %w", errInvalid, err)
	}
	return s.change(configuration.ServiceObject(v.Name), "applied", func(o platform.Object) ([]byte, error) {
		if err := expect(o, c.Version); err != nil {
			return nil, err
		}
		return encodeService(o, v)
	})
}

type serviceDelete struct {
	Name string `arg:"" help:"Name of the service."`
}

// Run deletes the service; its object stays as a tombstone.
func (c serviceDelete) Run(s *session) error {
	name := configuration.ServiceObject(c.Name)
	return s.change(name, "deleted", func(o platform.Object) ([]byte, error) {
		if !store.Exists(o) {
			return nil, missing(name)
		}
		return nil, nil
	})
}

// service reads a service and its object.
func (s *session) service(name string) (configuration.Service, platform.Object, error) {
	objects, err := s.store()
	if err != nil {
		return configuration.Service{}, platform.Object{}, err
	}
	o, err := objects.Get(s.ctx, configuration.ServiceObject(name))
	if err != nil {
		return configuration.Service{}, o, fmt.Errorf("read service %s: %w", name, err)
	}
	if !store.Exists(o) {
		return configuration.Service{}, o, missing(configuration.ServiceObject(name))
	}
	v, err := configuration.DecodeService(o.Value)
	return v, o, err
}

func (s *session) list(prefix string) ([]platform.Object, error) {
	objects, err := s.store()
	if err != nil {
		return nil, err
	}
	all, err := objects.List(s.ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	return all, nil
}

// encodeService validates a service that replaces the object. The number of shards is fixed,
// because the shard of every key would change.
func encodeService(o platform.Object, v configuration.Service) ([]byte, error) {
	if err := v.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	if store.Exists(o) {
		before, err := configuration.DecodeService(o.Value)
		if err == nil && before.Shards != v.Shards {
			return nil, fmt.Errorf("%w: shards: %d is not allowed, allowed: %d, which is fixed for this service", errInvalid, v.Shards, before.Shards)
		}
	}
	data, err := configuration.EncodeService(v)
	if err != nil {
		return nil, err
	}
	if store.Exists(o) && bytes.Equal(data, o.Value) {
		return nil, errUnchanged
	}
	return data, nil
}

func centres(v configuration.Service) []string {
	var all []string
	for _, u := range v.Upstreams {
		all = append(all, u.DataCentre)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// values maps the names of objects to their JSON.
func values(objects []platform.Object) map[string]json.RawMessage {
	all := map[string]json.RawMessage{}
	for _, o := range objects {
		all[o.Name] = o.Value
	}
	return all
}
