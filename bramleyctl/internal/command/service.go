package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"bramleystand.org/bramleyctl/internal/objectstore"
	"bramleystand.org/common/configuration"
	"bramleystand.org/common/platform"
)

type serviceCommands struct {
	List   serviceListCommand   `cmd:"" help:"List all services."`
	Show   serviceShowCommand   `cmd:"" help:"Print a service as JSON."`
	Apply  serviceApplyCommand  `cmd:"" help:"Create or replace a service from a JSON file."`
	Delete serviceDeleteCommand `cmd:"" help:"Delete a service."`
}

type serviceListCommand struct{}

// Run prints one line per service.
func (serviceListCommand) Run(s *session) error {
	objects, err := s.listObjects(configuration.ServicePrefix)
	if err != nil {
		return err
	}
	if s.commandLine.JSON {
		return s.printJSON(valuesByName(objects))
	}
	rows := [][]any{{"SERVICE", "SHARDS", "UPSTREAMS", "CENTRES", "VERSION", "AUTHOR"}}
	for _, o := range objects {
		v, err := configuration.DecodeService(o.Value)
		if err != nil {
			rows = append(rows, []any{o.Name, "invalid: " + err.Error(), "", "", o.Version, o.Author})
			continue
		}
		rows = append(rows, []any{v.Name, v.Shards, len(v.Upstreams), strings.Join(dataCentres(v), ","), o.Version, o.Author})
	}
	return s.printTable(rows)
}

type serviceShowCommand struct {
	Name string `arg:"" help:"Name of the service."`
}

// Run prints the service in the form that apply accepts.
func (c serviceShowCommand) Run(s *session) error {
	_, o, err := s.readService(c.Name)
	if err != nil {
		return err
	}
	return s.printJSON(json.RawMessage(o.Value))
}

type serviceApplyCommand struct {
	File    string `arg:"" help:"JSON file of the service."`
	Version *int64 `help:"Version that the file was made from; if another one is in force, the command fails as a lost race."`
}

// Run validates the file and creates or replaces the service.
func (c serviceApplyCommand) Run(s *session) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	v, err := configuration.DecodeService(data)
	if err != nil {
		return fmt.Errorf("%w: %w", errInvalid, err)
	}
	return s.changeObject(configuration.ServiceObject(v.Name), "applied", func(o platform.Object) ([]byte, error) {
		if err := checkVersion(o, c.Version); err != nil {
			return nil, err
		}
		return encodeService(o, v)
	})
}

type serviceDeleteCommand struct {
	Name string `arg:"" help:"Name of the service."`
}

// Run deletes the service; a tombstone of its object remains on the platform.
func (c serviceDeleteCommand) Run(s *session) error {
	name := configuration.ServiceObject(c.Name)
	return s.changeObject(name, "deleted", func(o platform.Object) ([]byte, error) {
		if !objectstore.Exists(o) {
			return nil, notFoundError(name)
		}
		return nil, nil
	})
}

// readService reads a service from the platform and returns it with its object.
func (s *session) readService(name string) (configuration.Service, platform.Object, error) {
	objects, err := s.objectstore()
	if err != nil {
		return configuration.Service{}, platform.Object{}, err
	}
	o, err := objects.Get(s.ctx, configuration.ServiceObject(name))
	if err != nil {
		return configuration.Service{}, o, fmt.Errorf("read service %s: %w", name, err)
	}
	if !objectstore.Exists(o) {
		return configuration.Service{}, o, notFoundError(configuration.ServiceObject(name))
	}
	v, err := configuration.DecodeService(o.Value)
	return v, o, err
}

// listObjects returns the objects whose names begin with the prefix, without tombstones.
func (s *session) listObjects(prefix string) ([]platform.Object, error) {
	objects, err := s.objectstore()
	if err != nil {
		return nil, err
	}
	all, err := objects.List(s.ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	return all, nil
}

// encodeService validates and encodes a service that replaces the object. It returns errUnchanged
// if the object already holds it. The number of shards of a service can't be changed, because the
// shard of every key would change with it.
func encodeService(o platform.Object, v configuration.Service) ([]byte, error) {
	if err := v.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	if objectstore.Exists(o) {
		current, err := configuration.DecodeService(o.Value)
		if err == nil && current.Shards != v.Shards {
			return nil, fmt.Errorf("%w: shards: %d is not allowed, allowed: %d, which is fixed for this service", errInvalid, v.Shards, current.Shards)
		}
	}
	data, err := configuration.EncodeService(v)
	if err != nil {
		return nil, err
	}
	if objectstore.Exists(o) && bytes.Equal(data, o.Value) {
		return nil, errUnchanged
	}
	return data, nil
}

// dataCentres returns the data centres of a service's upstreams in alphabetical order.
func dataCentres(v configuration.Service) []string {
	var all []string
	for _, u := range v.Upstreams {
		all = append(all, u.DataCentre)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// valuesByName returns the JSON value of each object by its name.
func valuesByName(objects []platform.Object) map[string]json.RawMessage {
	all := map[string]json.RawMessage{}
	for _, o := range objects {
		all[o.Name] = o.Value
	}
	return all
}
