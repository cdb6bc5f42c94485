package gatewayprocess

import (
	"cmp"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/revision"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/operator"
	"bramleystand.org/entry/internal/placement"
)

const (
	// maxExplainedBody bounds the size of a body in a question, which is not sent.
	maxExplainedBody = 1 << 30
	// maxExplainedBytes is the size from which a body counts as large wherever that matters.
	maxExplainedBytes = 64 << 10
)

// where explains where a request would go now, and why. It sends nothing and changes nothing.
func (p *Process) where(q url.Values) (any, error) {
	now := time.Now()
	configuration := p.view.Configuration()
	if configuration == nil {
		return nil, &operator.QueryError{Status: http.StatusServiceUnavailable, Text: "this process has no configuration yet"}
	}
	path, _, _ := strings.Cut(q.Get("path"), "?")
	route := configuration.Match(q.Get("host"), path)
	if route == nil {
		return nil, &operator.QueryError{Status: http.StatusNotFound, Text: fmt.Sprintf("no route of configuration %d for host %q and path %q", configuration.Version, q.Get("host"), path)}
	}
	c, err := explainedCall(now, route, q)
	if err != nil {
		return nil, err
	}
	out := map[string]any{
		"process": p.self.Name, "centre": p.self.DataCentre, "configuration": configuration.Version, "route": route.Name, "rank": route.Rank,
		"repeatable": route.Kind.Retryable(), "attempts": route.Attempts, "objective": route.Objective.Milliseconds(), "left": c.Deadline.Sub(now).Milliseconds(),
	}
	var services []map[string]any
	for _, s := range route.WeightedServices {
		c.Service = s.Service
		services = append(services, p.explainService(now, c, s.Weight))
	}
	out["services"] = services
	return out, nil
}

// explainedCall returns the call that a question describes.
func explainedCall(now time.Time, route *traffic.Route, q url.Values) (*dispatch.Call, error) {
	c := &dispatch.Call{Route: route, Arrived: now, Deadline: now.Add(route.Timeout)}
	invalid := func(name, allowed string) error {
		return &operator.QueryError{Status: http.StatusBadRequest, Text: fmt.Sprintf("%s: %q is not allowed, allowed: %s", name, q.Get(name), allowed)}
	}
	if text := q.Get("key"); text != "" {
		key, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return nil, invalid("key", "0 to 65535")
		}
		c.Key, c.HasKey = keyspace.Key(key), true
	}
	if text := q.Get("size"); text != "" {
		size, err := strconv.ParseInt(text, 10, 64)
		if err != nil || size < 0 || size > maxExplainedBody {
			return nil, invalid("size", "a number of bytes up to 1 GiB")
		}
		c.Body = make([]byte, min(size, maxExplainedBytes))
	}
	if text := q.Get("left"); text != "" {
		left, err := time.ParseDuration(text)
		if err != nil || left <= 0 {
			return nil, invalid("left", `a duration with unit, such as "900ms"`)
		}
		if end := now.Add(left); end.Before(c.Deadline) {
			c.Deadline = end
		}
	}
	return c, nil
}

// explainService explains where a call would go if it went to its service.
func (p *Process) explainService(now time.Time, c *dispatch.Call, weight float64) map[string]any {
	e := p.dispatcher.Explain(now, c)
	out := map[string]any{"service": c.Service, "weight": weight, "sharded": e.Sharded, "servers": len(p.view.Servers().Service(c.Service)), "obstacles": e.Obstacles, "evacuated": p.view.Evacuated()}
	if e.Sharded {
		out["table"] = revision.Revision(e.TableRevision).String()
		out["age"] = p.copyAges(now)["servers"]
		switch {
		case !c.HasKey:
			out["answer"] = "refused: the service is divided by key, and the request names none"
		case e.Owner.ID == "":
			out["answer"] = "waits for an owner of its key, then refused"
		default:
			out["answer"] = "owner of the key"
			out["owner"] = map[string]any{"server": e.Owner.ID, "centre": e.Owner.DataCentre, "slots": e.Owner.Slots, "cold": p.coldLimits.IsCold(now, e.Owner.Instance)}
		}
		return out
	}
	r := p.dispatcher.PlaceRequest(c)
	for id := range e.Obstacles {
		r.Excluded = append(r.Excluded, id)
	}
	out["answer"] = "no process can select a server"
	var pools []map[string]any
	for _, s := range p.limiter.Explain(r) {
		pool := map[string]any{"centre": s.Centre, "index": s.Index, "allocator": s.Allocator, "servers": s.Servers, "wait": s.Wait.Milliseconds(), "took": s.Took.Milliseconds(), "selected": s.Selected}
		if !s.HeardAt.IsZero() {
			pool["age"] = now.Sub(s.HeardAt).Milliseconds()
		}
		var best []map[string]any
		slices.SortFunc(s.Candidates, func(a, b placement.Candidate) int { return cmp.Compare(a.Expected, b.Expected) })
		for _, candidate := range s.Candidates[:min(len(s.Candidates), maxExplainedServers)] {
			best = append(best, dumpCandidate(candidate))
		}
		pool["best"] = best
		if s.Selected {
			out["answer"] = fmt.Sprintf("placed by %s on a server in %s", s.Allocator, s.Centre)
		}
		pools = append(pools, pool)
	}
	out["pools"] = pools
	return out
}

// maxExplainedServers is the number of servers of a pool that an explanation names.
const maxExplainedServers = 5
