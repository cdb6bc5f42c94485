// Package evidence finds the cause of a failed request, and the owner of a key, in the log lines
// of entry processes.
//
// # Usage
//
//	e := evidence.Explain(logline.Order(lines), "c0-000123-1")
//	fmt.Println(e.Cause)
//	steps := evidence.History(lines, "seat-desk", 4711, until)
package evidence

import (
	"fmt"
	"slices"
	"time"

	"bramleystand.org/bramleyctl/internal/logline"
)

const (
	// before is how long before a request an event may have caused its end: grants run for 3 s,
	// and a server that was lost is noticed within 2 s.
	before = 8 * time.Second
	// near is the time around a request in which others are compared with it.
	near = time.Second
)

// Messages of the lines that this package knows.
const (
	served      = "request served"
	notServed   = "request not served"
	refused     = "request refused"
	orderFailed = "order failed"
	leftOut     = "log lines left out"
	moving      = "keys moving"
	granted     = "keys granted"
)

// Explanation is why a request ended as it did.
type Explanation struct {
	ID string
	// Lines are those of the request, and Related those of the events that decided it.
	Lines   []logline.Line
	Related []logline.Line
	Cause   string
	// Found is false if the lines do not show the cause.
	Found bool
}

// request is the line of a request's end with what else was logged around it.
type request struct {
	logline.Line
	began, ended time.Time
	all          []logline.Line
	e            *Explanation
}

// Explain finds the cause of the end of a request in ordered lines.
func Explain(lines []logline.Line, id string) Explanation {
	e := Explanation{ID: id}
	for _, l := range lines {
		if l.Text("id") == id {
			e.Lines = append(e.Lines, l)
		}
	}
	if len(e.Lines) == 0 {
		e.Cause = missing(lines)
		return e
	}
	last := e.Lines[len(e.Lines)-1]
	ms, _ := last.Number("ms")
	r := &request{Line: last, ended: last.Time(), began: last.Time().Add(-time.Duration(ms) * time.Millisecond), all: lines, e: &e}
	e.Cause, e.Found = r.explain()
	return e
}

// missing says why a request may have no line.
func missing(lines []logline.Line) string {
	n := int64(0)
	for _, l := range lines {
		if l.Message == leftOut {
			lines, _ := l.Number("lines")
			n += lines
		}
	}
	if n > 0 {
		return fmt.Sprintf("no line has this identifier; %d lines were left out because of the limit", n)
	}
	return "no line has this identifier: the request did not reach a process whose log was given, or the process ended before it wrote the line"
}

// explain returns the cause, and whether the lines show it.
func (r *request) explain() (string, bool) {
	if r.Message == refused {
		return fmt.Sprintf("refused by %s before it was given to a server: %s", r.Name, r.Text("reason")), true
	}
	if r.Message == served {
		return r.slow()
	}
	switch r.Text("reason") {
	case "full":
		return r.full()
	case "no owner":
		return r.unowned()
	case "no server":
		return r.noServer()
	case "unreachable":
		return r.unreachable()
	case "not run by server":
		return r.notRun()
	case "no usable answer":
		return r.broken()
	case "late":
		return r.late()
	case "client left":
		return r.unanswered(fmt.Sprintf("the client closed its connection after %d ms; %s", r.number("ms"), r.progress()))
	case "crashes servers":
		return "the same request has crashed three servers and is refused for ten minutes", true
	}
	return "unknown reason " + r.Text("reason"), false
}

func (r *request) number(field string) int64 {
	n, _ := r.Number(field)
	return n
}

// progress says how far the request got.
func (r *request) progress() string {
	switch {
	case r.number("attempts") > 0:
		return fmt.Sprintf("server %s had it (waited %d ms for a slot)", r.Text("server"), r.number("wait"))
	case r.number("wait") > 0:
		return fmt.Sprintf("it waited %d ms for a slot and was given to no server", r.number("wait"))
	}
	return "it was given to no server"
}

// addRelated keeps a line as evidence.
func (r *request) addRelated(lines ...logline.Line) {
	r.e.Related = append(r.e.Related, lines...)
}

// during returns the lines from a time before the request began until it ended.
func (r *request) during(earlier time.Duration, use func(l logline.Line) bool) []logline.Line {
	var out []logline.Line
	for _, l := range r.all {
		if at := l.Time(); !at.Before(r.began.Add(-earlier)) && !at.After(r.ended.Add(near)) && use(l) {
			out = append(out, l)
		}
	}
	return out
}

// others returns the ends of other requests around this one.
func (r *request) others(use func(l logline.Line) bool) []logline.Line {
	return r.during(near, func(l logline.Line) bool {
		return (l.Message == served || l.Message == notServed) && l.Text("id") != r.Text("id") && use(l)
	})
}

// slow explains a request that was served.
func (r *request) slow() (string, bool) {
	took, wait := r.number("ms"), r.number("wait")
	text := fmt.Sprintf("served by %s with status %d after %d ms, of which %d ms were spent waiting for a slot and %d ms waiting for an owner of the key",
		r.Text("server"), r.number("status"), took, wait, r.number("held"))
	if steps := r.Text("steps"); steps != "" {
		text += "; servers tried: " + steps
	}
	if rest := took - wait; wait > rest {
		text += "; " + r.contention()
	}
	events := r.keyEvents()
	r.addRelated(events...)
	if len(events) > 0 && r.number("held") > 0 {
		text += "; " + describe(events[len(events)-1])
	}
	return text, true
}

// full explains a request for which a server had no slot.
func (r *request) full() (string, bool) {
	server := stepServer(r.Line)
	r.addRelated(r.keyEvents()...)
	return fmt.Sprintf("no slot of %s in time, after %d ms; %s", server, r.number("ms"), r.contention()), server != ""
}

// contention says whether one server or all were full around the request.
func (r *request) contention() string {
	server := stepServer(r.Line)
	same, all, answered := 0, 0, 0
	for _, l := range r.others(func(l logline.Line) bool { return l.Text("service") == r.Text("service") }) {
		switch {
		case l.Message == served:
			answered++
		case l.Text("reason") == "full":
			all++
			if stepServer(l) == server {
				same++
			}
		}
	}
	return fmt.Sprintf("within %s around it %d other requests of %s found no slot, %d of them at the same server, and %d were served", near, all, r.Text("service"), same, answered)
}

// stepServer returns the server that a request was last meant for.
func stepServer(l logline.Line) string {
	if s := l.Text("chosen"); s != "" {
		return s
	}
	return l.Text("server")
}

// unowned explains a request whose key had no usable owner.
func (r *request) unowned() (string, bool) {
	key, ok := r.Number("key")
	if !ok {
		return "the request names no key, and every server of the service owns some keys only", true
	}
	if events := r.keyEvents(); len(events) > 0 {
		r.addRelated(events...)
		last := events[len(events)-1]
		if i := slices.IndexFunc(events, func(l logline.Line) bool { return l.Message == moving }); i >= 0 {
			last = events[i]
		}
		return fmt.Sprintf("key %d had no owner at the time: %s", key, describe(last)), true
	}
	if failed := r.during(before, func(l logline.Line) bool { return l.Message == orderFailed && coversKey(l, key) }); len(failed) > 0 {
		r.addRelated(failed...)
		return fmt.Sprintf("key %d had no owner at the time: %s", key, describe(failed[len(failed)-1])), true
	}
	return r.leaderless(fmt.Sprintf("key %d had no owner at the time", key))
}

// leaderless looks for a time without a coordinator or without the store.
func (r *request) leaderless(text string) (string, bool) {
	events := r.during(before, func(l logline.Line) bool { return isControl(l.Message) })
	r.addRelated(events...)
	if len(events) == 0 {
		return text + "; no line says why", false
	}
	return text + "; " + describe(events[len(events)-1]), true
}

// noServer explains a request for which no server could be used.
func (r *request) noServer() (string, bool) {
	if steps := r.Text("steps"); steps != "" {
		return "no server of " + r.Text("service") + " could be used: " + steps, true
	}
	if server := r.Text("server"); server != "" {
		return fmt.Sprintf("no other server of %s than %s could be used; %s", r.Text("service"), server, r.contention()), true
	}
	return r.leaderless("no server of " + r.Text("service") + " was in use")
}

// unreachable explains a request whose server could not be connected to.
func (r *request) unreachable() (string, bool) {
	server := stepServer(r.Line)
	text := fmt.Sprintf("no connection to %s", server)
	if e := r.Text("error"); e != "" {
		text += " (" + e + ")"
	}
	failed := r.during(before, func(l logline.Line) bool { return l.Message == orderFailed && l.Text("server") == server })
	reached := r.others(func(l logline.Line) bool { return l.Message == served && l.Text("server") == server })
	r.addRelated(failed...)
	switch {
	case len(failed) > 0 && len(reached) > 0:
		return text + "; the coordinator does not reach it either, but " + reached[0].Name + " does: a partition", true
	case len(failed) > 0:
		return text + "; the coordinator does not reach it either: it is down or cut off", true
	case len(reached) > 0:
		return text + "; " + reached[0].Name + " reaches it: a partition between " + r.Name + " and the server", true
	}
	events := r.keyEvents()
	r.addRelated(events...)
	if len(events) > 0 {
		return text + "; " + describe(events[len(events)-1]), true
	}
	return text, r.Text("error") != ""
}

// notRun explains a request that a server has refused.
func (r *request) notRun() (string, bool) {
	text := fmt.Sprintf("server %s stated that it did not run the request", r.Text("server"))
	if steps := r.Text("steps"); steps != "" {
		text += "; servers tried: " + steps
	}
	events := r.keyEvents()
	r.addRelated(events...)
	if len(events) > 0 {
		return text + "; its key was on the move: " + describe(events[len(events)-1]), true
	}
	return text + "; " + r.contention(), true
}

// broken explains a request whose answer can't be used; it may have run.
func (r *request) broken() (string, bool) {
	server := r.Text("server")
	gone := r.during(before, func(l logline.Line) bool {
		return l.Message == orderFailed && l.Text("server") == server || l.Message == "keys ended" && l.Text("server") == server
	})
	r.addRelated(gone...)
	text := fmt.Sprintf("%s had the request and gave no usable answer (%s); it may have run", server, r.Text("error"))
	if len(gone) > 0 {
		text += "; " + describe(gone[len(gone)-1])
	}
	return text, r.Text("error") != ""
}

// late explains a request that was not answered before its deadline.
func (r *request) late() (string, bool) {
	return r.unanswered(fmt.Sprintf("no answer before the deadline, %d ms after it came; %s", r.number("limit"), r.progress()))
}

// unanswered explains a request that nobody waits for any more: it ran, or something held it up.
func (r *request) unanswered(text string) (string, bool) {
	if r.number("attempts") > 0 {
		return text + "; it may have run", true
	}
	if events := r.keyEvents(); len(events) > 0 {
		r.addRelated(events...)
		return text + "; " + describe(events[len(events)-1]), true
	}
	return text + "; " + r.contention(), true
}
