package command

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"bramleystand.org/bramleyctl/internal/where"
)

type whereCommand struct {
	Host string        `arg:"" help:"The host of the request."`
	Path string        `arg:"" help:"The path of the request."`
	Key  *uint16       `help:"The key of the request, 0 to 65535."`
	Size int64         `help:"The size of the body in bytes."`
	Left time.Duration `help:"The time that the client waits; by default that of the route."`
}

// Run prints where the request would go now, as the first of the given entry processes knows it.
func (c whereCommand) Run(s *session) error {
	if len(s.commandLine.Entry) == 0 {
		return fmt.Errorf("%w: --entry is missing, allowed: the admin address of an entry process", errInvalid)
	}
	question := url.Values{"host": {c.Host}, "path": {c.Path}}
	if c.Key != nil {
		question.Set("key", strconv.Itoa(int(*c.Key)))
	}
	if c.Size > 0 {
		question.Set("size", strconv.FormatInt(c.Size, 10))
	}
	if c.Left > 0 {
		question.Set("left", c.Left.String())
	}
	answer, body, err := where.Ask(s.ctx, s.commandLine.Entry[0], question)
	if rejected, ok := errors.AsType[*where.RejectedError](err); ok && (rejected.Status == http.StatusNotFound || rejected.Status == http.StatusBadRequest) {
		return fmt.Errorf("%w: %w", errInvalid, err)
	}
	if err != nil {
		return err
	}
	if s.commandLine.JSON {
		_, err := fmt.Fprintf(s.out, "%s\n", body)
		return err
	}
	return c.print(s, answer)
}

// print prints an answer for people.
func (c whereCommand) print(s *session, a where.Answer) error {
	_, err := fmt.Fprintf(s.out, "route %s of configuration %d, rank %d, %d ms to the objective, %d ms left; known by %s in %s\n",
		a.Route, a.Configuration, a.Rank, a.Objective, a.Left, a.Process, a.Centre)
	for _, service := range a.Services {
		err = errors.Join(err, printService(s, service))
	}
	return err
}

// printService prints where the request would go in one service.
func printService(s *session, service where.Service) error {
	_, err := fmt.Fprintf(s.out, "%s (weight %g, %d servers): %s\n", service.Name, service.Weight, service.Servers, service.Text)
	if o := service.Owner; o != nil {
		err = errors.Join(err, s.printTable([][]any{{"OWNER", "CENTRE", "COLD", "TABLE"}, {o.Server, o.Centre, o.Cold, service.Table}}))
	}
	if len(service.Pools) > 0 {
		err = errors.Join(err, printPools(s, service.Pools))
	}
	if len(service.Evacuated) > 0 {
		_, printErr := fmt.Fprintf(s.out, "evacuated: %s\n", strings.Join(service.Evacuated, ", "))
		err = errors.Join(err, printErr)
	}
	for _, id := range slices.Sorted(maps.Keys(service.Obstacles)) {
		_, printErr := fmt.Fprintf(s.out, "not to %s: %s\n", id, service.Obstacles[id])
		err = errors.Join(err, printErr)
	}
	return err
}

// printPools prints the pools of a service, the selected one first, and the best servers of those that the process
// allocates itself.
func printPools(s *session, pools []where.Pool) error {
	slices.SortFunc(pools, func(a, b where.Pool) int {
		if a.Selected != b.Selected {
			if a.Selected {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Centre, b.Centre)
	})
	rows := [][]any{{"POOL", "SELECTED", "ALLOCATOR", "SERVERS", "WAIT MS", "TAKES MS", "KNOWN FOR MS"}}
	servers := [][]any{{"SERVER", "EXPECTED MS", "WORK LEFT MS", "RUNNING", "WAITING", "SPEED", "SLOWDOWN"}}
	for _, p := range pools {
		age := "not asked"
		if p.Age != nil {
			age = strconv.FormatInt(*p.Age, 10)
		}
		rows = append(rows, []any{fmt.Sprintf("%s/%d", p.Centre, p.Index), p.Selected, p.Allocator, p.Servers, p.Wait, p.Took, age})
		for _, b := range p.Best {
			servers = append(servers, []any{b.Server, b.Expected, b.Left, b.Running, b.Waiting, strconv.FormatFloat(b.Speed, 'f', 2, 64), strconv.FormatFloat(b.Slowdown, 'f', 2, 64)})
		}
	}
	err := s.printTable(rows)
	if len(servers) > 1 {
		err = errors.Join(err, s.printTable(servers))
	}
	return err
}
