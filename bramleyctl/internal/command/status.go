package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"bramleystand.org/bramleyctl/internal/dump"
)

// roleController is the role of the process that controls a pair.
const roleController = "controller"

type statusCommand struct{}

// Run prints members, controllers and versions as the given entry processes see them.
func (statusCommand) Run(s *session) error {
	dumps, failed, err := s.dumps()
	if err != nil {
		return err
	}
	if s.line.JSON {
		return errors.Join(s.json(dumps), failed)
	}
	err = errors.Join(s.table(memberRows(dumps)), s.gap(), s.table(controllerRows(dumps)), s.gap(), s.table(versionRows(dumps)), s.problems(dumps))
	return errors.Join(err, failed)
}

// dumps reads all entry processes. Those that do not answer are reported in failed.
func (s *session) dumps() (dumps []dump.Dump, failed, err error) {
	if len(s.line.Entry) == 0 {
		return nil, nil, fmt.Errorf("%w: --entry is missing, allowed: one or more IP addresses with port", errInvalid)
	}
	for _, address := range s.line.Entry {
		d, _, err := dump.Read(s.ctx, address)
		if err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		dumps = append(dumps, d)
	}
	if len(dumps) == 0 {
		return nil, nil, failed
	}
	return dumps, failed, nil
}

// problems prints the objects whose newest version is invalid.
func (s *session) problems(dumps []dump.Dump) error {
	for _, d := range dumps {
		for _, name := range slices.Sorted(maps.Keys(d.Problems)) {
			if _, err := fmt.Fprintf(s.out, "%s: %s\n", d.Member.Name, d.Problems[name]); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *session) gap() error {
	_, err := fmt.Fprintln(s.out)
	return err
}

// memberRows joins what the processes know of the members; the latest incarnation counts,
// and a member that any process takes for silent is shown so.
func memberRows(dumps []dump.Dump) [][]any {
	members := map[string]dump.Member{}
	for _, d := range dumps {
		for _, m := range d.Members {
			known, ok := members[m.Name]
			if !ok || m.Incarnation > known.Incarnation || m.Incarnation == known.Incarnation && m.Silent {
				members[m.Name] = m
			}
		}
	}
	rows := [][]any{{"MEMBER", "CENTRE", "ADDRESS", "STARTED", "STATE"}}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		m := members[name]
		state := "live"
		if m.Leaving {
			state = "leaving"
		}
		if m.Silent {
			state = "silent"
		}
		started := time.Unix(0, m.Incarnation).UTC().Format(time.RFC3339)
		rows = append(rows, []any{m.Name, m.Centre, m.Address, started, state})
	}
	return rows
}

// controllerRows shows the controller of the highest term of each pair: the process that
// says so itself, or else the one that others support.
func controllerRows(dumps []dump.Dump) [][]any {
	type control struct {
		term       uint32
		name       string
		succession []string
		moving     int
	}
	pairs := map[string]control{}
	for _, d := range dumps {
		for pair, c := range d.Controllers {
			found := control{term: c.PromisedTerm, name: c.Promised.Name}
			if c.Role == roleController {
				found = control{term: c.Term, name: d.Member.Name, moving: c.Moving}
			}
			for _, m := range c.Succession.Members {
				found.succession = append(found.succession, m.Name)
			}
			known, ok := pairs[pair]
			if !ok || found.term > known.term || found.term == known.term && c.Role == roleController {
				pairs[pair] = found
			}
		}
	}
	rows := [][]any{{"PAIR", "CONTROLLER", "TERM", "MOVING", "SUCCESSION"}}
	for _, pair := range slices.Sorted(maps.Keys(pairs)) {
		c := pairs[pair]
		rows = append(rows, []any{pair, orNone(c.name), c.term, c.moving, strings.Join(c.succession, ",")})
	}
	return rows
}

// versionRows shows which processes lack the newest version that any of them has in force.
func versionRows(dumps []dump.Dump) [][]any {
	newest := map[string]int64{}
	for _, d := range dumps {
		for name, version := range d.Versions {
			newest[name] = max(newest[name], version)
		}
	}
	rows := [][]any{{"OBJECT", "VERSION", "IN FORCE AT", "BEHIND"}}
	for _, name := range slices.Sorted(maps.Keys(newest)) {
		var behind []string
		for _, d := range dumps {
			if v := d.Versions[name]; v < newest[name] {
				behind = append(behind, fmt.Sprintf("%s (%d)", d.Member.Name, v))
			}
		}
		inForce := fmt.Sprintf("%d of %d", len(dumps)-len(behind), len(dumps))
		rows = append(rows, []any{name, newest[name], inForce, strings.Join(behind, ", ")})
	}
	return rows
}

type dumpCommand struct {
	Address netip.AddrPort `arg:"" help:"Admin address of the process."`
}

// Run prints the dump as the process has sent it.
func (c dumpCommand) Run(s *session) error {
	_, body, err := dump.Read(s.ctx, c.Address)
	if err != nil {
		return err
	}
	return s.json(json.RawMessage(body))
}
