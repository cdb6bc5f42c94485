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
	Logs    []string  `help:"Log files of entry processes on the users' platform, to read instead of asking --entry." type:"existingfile"`
	At      time.Time `help:"With --logs, the time to look up; by default the end of the logs."`
}

// Run prints the owner of the key from the newest tables of the given entry processes, or from log
// files.
func (c ownerCommand) Run(s *session) error {
	if len(c.Logs) > 0 {
		return c.runFromLogs(s)
	}
	dumps, failed, err := s.dumps()
	if err != nil {
		return err
	}
	service, err := s.findService(dumps, c.Service)
	if err != nil {
		return err
	}
	o := findOwner(service, c.Key, newestTables(dumps, c.Service))
	if s.commandLine.JSON {
		return errors.Join(s.printJSON(o), failed)
	}
	return errors.Join(s.printTable([][]any{
		{"SHARD", "HOME", "OWNER", "LEASEHOLDER", "FENCE", "REVISION", "WHY"},
		{o.Shard, o.Home, orNone(o.Owner), orNone(o.Leaseholder), orNone(o.Fence), o.Revision, o.Why},
	}), failed)
}

// findService returns the service from a dump or, if no dump has it, from the platform.
func (s *session) findService(dumps []dump.Dump, name string) (configuration.Service, error) {
	for _, d := range dumps {
		if data, ok := d.Services[name]; ok {
			return configuration.DecodeService(data)
		}
	}
	service, _, err := s.readService(name)
	return service, err
}

// locatedTable is a routing table and the process whose dump it was found in.
type locatedTable struct {
	dump.Table
	process string
}

// newestTables returns the newest table of a service for each data centre.
func newestTables(dumps []dump.Dump, service string) map[string]locatedTable {
	newest := map[string]locatedTable{}
	for _, d := range dumps {
		for _, t := range d.Tables {
			known, ok := newest[t.Centre]
			if t.Service == service && (!ok || t.Term > known.Term || t.Term == known.Term && t.Sequence > known.Sequence) {
				newest[t.Centre] = locatedTable{t, d.Member.Name}
			}
		}
	}
	return newest
}

// ownership is the JSON form of the owner of a key according to the routing tables.
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

// findOwner returns the placement that holds the key's shard. It reads only the table of the
// shard's home data centre: tables of other data centres may still list the shard from a time when
// they were its home.
func findOwner(service configuration.Service, key string, tables map[string]locatedTable) ownership {
	shardNumber := shard.Of(key, service.Shards)
	o := ownership{Service: service.Name, Key: key, Shard: uint32(shardNumber), Home: service.HomeDataCentre(shardNumber)}
	table, ok := tables[o.Home]
	if !ok {
		o.Why = fmt.Sprintf("no table of %s@%s, only of %v", service.Name, o.Home, slices.Sorted(maps.Keys(tables)))
		return o
	}
	location := fmt.Sprintf("table %d.%d of %s@%s at %s", table.Term, table.Sequence, service.Name, o.Home, table.process)
	index := slices.IndexFunc(table.Placements, func(p dump.Placement) bool { return slices.Contains(p.Shards, o.Shard) })
	if index < 0 {
		o.Why = "being moved: no upstream holds the shard in " + location
		return o
	}
	p := table.Placements[index]
	o.Owner, o.Leaseholder, o.Fence, o.Revision, o.Why = p.Upstream, p.Leaseholder.Name, p.Fence, p.Revision, location
	return o
}

// orNone returns "none" for an empty string, so that no column is blank.
func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
