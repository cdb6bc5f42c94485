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

// roleController is the role in a dump of the process that controls a pair.
const roleController = "controller"

type statusCommand struct{}

// Run prints the members, the controllers and the versions in force as the given entry processes
// report them.
func (statusCommand) Run(s *session) error {
	dumps, failed, err := s.dumps()
	if err != nil {
		return err
	}
	if s.commandLine.JSON {
		return errors.Join(s.printJSON(dumps), failed)
	}
	err = errors.Join(s.printTable(memberRows(dumps)), s.printBlankLine(), s.printTable(controllerRows(dumps)), s.printBlankLine(), s.printTable(versionRows(dumps)), s.printProblems(dumps))
	return errors.Join(err, failed)
}

// dumps reads the dumps of all processes named with --entry. The errors of processes that do not
// answer are joined in failed; if none answers, err is set instead.
func (s *session) dumps() (dumps []dump.Dump, failed, err error) {
	if len(s.commandLine.Entry) == 0 {
		return nil, nil, fmt.Errorf("%w: --entry is missing, allowed: one or more IP addresses with port", errInvalid)
	}
	for _, address := range s.commandLine.Entry {
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

// printProblems prints why the newest versions of objects are invalid, by process.
func (s *session) printProblems(dumps []dump.Dump) error {
	for _, d := range dumps {
		for _, name := range slices.Sorted(maps.Keys(d.Problems)) {
			if _, err := fmt.Fprintf(s.out, "%s: %s\n", d.Member.Name, d.Problems[name]); err != nil {
				return err
			}
		}
	}
	return nil
}

// printBlankLine separates two tables.
func (s *session) printBlankLine() error {
	_, err := fmt.Fprintln(s.out)
	return err
}

// memberRows merges what the processes report about the members. It shows the latest incarnation of
// each member, as silent if any process reports that incarnation as silent.
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

// controllerRows shows the controller of the highest term of each pair: the process that reports
// to be the controller itself or, failing that, the one that others have promised to support.
func controllerRows(dumps []dump.Dump) [][]any {
	type controllerState struct {
		term       uint32
		name       string
		succession []string
		moving     int
	}
	pairs := map[string]controllerState{}
	for _, d := range dumps {
		for pair, c := range d.Controllers {
			candidate := controllerState{term: c.PromisedTerm, name: c.Promised.Name}
			if c.Role == roleController {
				candidate = controllerState{term: c.Term, name: d.Member.Name, moving: c.Moving}
			}
			for _, m := range c.Succession.Members {
				candidate.succession = append(candidate.succession, m.Name)
			}
			known, ok := pairs[pair]
			if !ok || candidate.term > known.term || candidate.term == known.term && c.Role == roleController {
				pairs[pair] = candidate
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

// versionRows shows the newest version of each object that any process has in force, and which
// processes are behind it.
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

// Run prints the dump as the process sent it, with the fields that package dump does not decode.
func (c dumpCommand) Run(s *session) error {
	_, body, err := dump.Read(s.ctx, c.Address)
	if err != nil {
		return err
	}
	return s.printJSON(json.RawMessage(body))
}
