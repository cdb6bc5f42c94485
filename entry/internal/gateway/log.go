package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"

	"bramleystand.org/common/revision"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/dispatch"
)

// logResult logs how a request ended and why. Requests that got a response are logged at debug
// level, so that a log with a limit drops their lines first.
func (h *Handler) logResult(configuration *traffic.Configuration, c *dispatch.Call, r *dispatch.Result) {
	fields := log.Fields{
		"id": c.ID, "route": c.Route.Name, "service": c.Service, "rank": c.Route.Rank, "status": r.Status, "reason": string(r.Reason),
		"attempts": r.Attempts, "server": r.Server, "ms": time.Since(c.Arrived).Milliseconds(), "wait": r.Waited().Milliseconds(),
		"held":  r.OwnerWait.Milliseconds(),
		"limit": c.Deadline.Sub(c.Arrived).Milliseconds(), "configuration": configuration.Version,
	}
	if c.HasKey {
		fields["key"], fields["table"] = uint64(c.Key), revision.Revision(r.TableRevision).String()
	}
	if n := len(r.Steps); n > 0 && r.Steps[n-1].Server != r.Server {
		fields["chosen"] = r.Steps[n-1].Server
	}
	if r.Peer != "" {
		fields["peer"] = r.Peer
	}
	if len(r.Steps) > 1 {
		fields["steps"] = formatSteps(r.Steps)
	}
	if r.Limit.InForce {
		fields["rate"], fields["heard"] = r.Limit.PerSecond, time.Since(r.Limit.HeardAt).Milliseconds()
	}
	if r.Cause != nil {
		fields["error"] = r.Cause
	}
	if !r.RetryAt.IsZero() {
		fields["retry"] = time.Until(r.RetryAt).Milliseconds()
	}
	if r.Reason == dispatch.Answered {
		h.logger.WithFields(fields).Debug("request served")
		return
	}
	h.logger.WithFields(fields).Info("request not served")
}

// maxActiveLines bounds the lines of one call of LogActive.
const maxActiveLines = 20

// LogActive logs the requests in progress, oldest first, with what each of them waits for.
func (h *Handler) LogActive(now time.Time) {
	for i, c := range h.active.list() {
		if i == maxActiveLines {
			return
		}
		p := c.Progress()
		h.logger.WithFields(log.Fields{
			"id": c.ID, "route": c.Route.Name, "service": c.Service, "rank": c.Route.Rank, "reason": string(p.Phase), "server": p.Server,
			"ms": now.Sub(c.Arrived).Milliseconds(), "since": now.Sub(p.Since).Milliseconds(), "left": c.Deadline.Sub(now).Milliseconds(),
		}).Info("request in progress")
	}
}

// ActiveCounts returns the number of requests in progress by what they wait for.
func (h *Handler) ActiveCounts() map[string]int {
	out := make(map[string]int)
	for _, c := range h.active.list() {
		out[string(c.Progress().Phase)]++
	}
	return out
}

// formatSteps lists the servers that were tried, each with the time it waited for a slot and the
// time until its response, both in ms, and the reason why the attempt ended.
func formatSteps(steps []dispatch.Step) string {
	var out []string
	for _, s := range steps {
		server := s.Server
		if s.Peer != "" {
			server += " through " + s.Peer
		}
		out = append(out, fmt.Sprintf("%s waited %d took %d: %s", server, s.Waited.Milliseconds(), s.Took.Milliseconds(), s.Reason))
	}
	return strings.Join(out, "; ")
}

// logRefusal logs why a request was refused before it was passed to the dispatcher.
func (h *Handler) logRefusal(r *http.Request, status int, reason string) {
	h.logger.WithFields(log.Fields{
		"id": h.fields.ID(r.Header), "host": r.Host, "path": r.URL.Path, "status": status, "reason": reason, "attempts": 0,
	}).Info("request refused")
}
