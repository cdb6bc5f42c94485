package command

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"bramleystand.org/bramleyctl/internal/dump"
	"bramleystand.org/common/configuration"
	"bramleystand.org/common/shard"
)

type ownerCommand struct {
	Service string    `arg:"" help:"Name of the service."`
	Key     string    `arg:"" help:"The key."`
	Logs    []string  `help:"Log files of entry processes on the users' platform, to be used in place of --entry." type:"existingfile"`
	At      time.Time `help:"With --logs, the time that is asked about; the end of the logs if it is missing."`
}

// Run prints the ownership by the newest tables of the given entry processes.
func (c ownerCommand) Run(s *session) error {
	if len(c.Logs) > 0 {
		return c.fromLogs(s)
	}
	dumps, failed, err := s.dumps()
	if err != nil {
		return err
	}
	service, err := s.definition(dumps, c.Service)
	if err != nil {
		return err
	}
	o := explain(service, c.Key, newestTables(dumps, c.Service))
	if s.line.JSON {
		return errors.Join(s.json(o), failed)
	}
	return errors.Join(s.table([][]any{
		{"SHARD", "HOME", "OWNER", "LEASEHOLDER", "FENCE", "REVISION", "WHY"},
		{o.Shard, o.Home, orNone(o.Owner), orNone(o.Leaseholder), orNone(o.Fence), o.Revision, o.Why},
	}), failed)
}

// definition takes the service from a dump or, if none has it, from the platform.
func (s *session) definition(dumps []dump.Dump, name string) (configuration.Service, error) {
	for _, d := range dumps {
		if data, ok := d.Services[name]; ok {
			return configuration.DecodeService(data)
		}
	}
	service, _, err := s.service(name)
	return service, err
}

// located is a table and the process that has it.
type located struct {
	dump.Table
	at string
}

// newestTables returns the newest table of each data centre for a service.
func newestTables(dumps []dump.Dump, service string) map[string]located {
	newest := map[string]located{}
	for _, d := range dumps {
		for _, t := range d.Tables {
			known, ok := newest[t.Centre]
			if t.Service == service && (!ok || t.Term > known.Term || t.Term == known.Term && t.Sequence > known.Sequence) {
				newest[t.Centre] = located{t, d.Member.Name}
			}
		}
	}
	return newest
}

// ownership is who serves a key and why.
type ownership struct {
	Service     string `json:"service"`
	Key         string `json:"key"`
	Shard       uint32 `json:"shard"`
	Home        string `json:"home"`
	Owner       string `json:"owner"`
	Leaseholder string `json:"leaseholder"`
	Fence       string `json:"fence"`
	Revision    uint32 `json:"revision"`
	Why         string `json:"why"`
}

// explain finds the placement that holds the key's shard. Only the table of the shard's
// home counts; tables of other data centres may hold it from earlier homes.
func explain(service configuration.Service, key string, tables map[string]located) ownership {
	n := shard.Of(key, service.Shards)
	o := ownership{Service: service.Name, Key: key, Shard: uint32(n), Home: service.HomeOf(n)}
	t, ok := tables[o.Home]
	if !ok {
		o.Why = fmt.Sprintf("no table of %s@%s, only of %v", service.Name, o.Home, slices.Sorted(maps.Keys(tables)))
		return o
	}
	where := fmt.Sprintf("table %d.%d of %s@%s at %s", t.Term, t.Sequence, service.Name, o.Home, t.at)
	i := slices.IndexFunc(t.Placements, func(p dump.Placement) bool { return slices.Contains(p.Shards, o.Shard) })
	if i < 0 {
		o.Why = "being moved: no upstream holds the shard in " + where
		return o
	}
	p := t.Placements[i]
	o.Owner, o.Leaseholder, o.Fence, o.Revision, o.Why = p.Upstream, p.Leaseholder.Name, p.Fence, p.Revision, where
	return o
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
