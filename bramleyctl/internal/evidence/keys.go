package evidence

import (
	"fmt"
	"strings"
	"time"

	"bramleystand.org/bramleyctl/internal/logline"
)

// keyEvents returns the steps of the ownership of the request's key around it.
func (r *request) keyEvents() []logline.Line {
	key, ok := r.Number("key")
	if !ok {
		return nil
	}
	return r.during(before, func(l logline.Line) bool {
		return strings.HasPrefix(l.Message, "keys ") && l.Text("service") == r.Text("service") && coversKey(l, key)
	})
}

// coversKey reports whether the range of a line contains a key.
func coversKey(l logline.Line, key int64) bool {
	first, ok := l.Number("first")
	last, also := l.Number("last")
	return ok && also && first <= key && key <= last
}

// isControl reports whether a message is about the coordinator's role or the store.
func isControl(message string) bool {
	switch message {
	case "coordinator", "no longer coordinator", "lock not renewed", "coordinator not followed",
		"store can't be read", "store can be read again", "watch ended", "started", "stopping":
		return true
	}
	return false
}

// describe says in words what a line tells.
func describe(l logline.Line) string {
	at := l.Time().Format("15:04:05.000")
	keys := func() string {
		first, _ := l.Number("first")
		last, _ := l.Number("last")
		return fmt.Sprintf("keys %d to %d of %s", first, last, l.Text("service"))
	}
	term, _ := l.Number("term")
	switch l.Message {
	case moving:
		from := l.Text("from")
		if from == "" {
			from = "nobody"
		}
		return fmt.Sprintf("at %s coordinator %s (term %d) began to move %s from %s to %s, because: %s", at, l.Name, term, keys(), from, l.Text("server"), l.Text("reason"))
	case granted, "keys released", "keys lapsed", "keys ended":
		return fmt.Sprintf("at %s coordinator %s (term %d) noted: %s %s by %s, fence %s", at, l.Name, term, keys(), strings.TrimPrefix(l.Message, "keys "), l.Text("server"), l.Text("fence"))
	case orderFailed:
		return fmt.Sprintf("at %s coordinator %s could not give an order (%s) to %s: %s", at, l.Name, l.Text("reason"), l.Text("server"), l.Text("error"))
	}
	text := fmt.Sprintf("at %s %s: %s", at, l.Name, l.Message)
	if e := l.Text("error"); e != "" {
		text += " (" + e + ")"
	}
	return text
}

// History returns the steps of the ownership of a key until a time, in words, the latest last.
func History(lines []logline.Line, service string, key int64, until time.Time) []string {
	var out []string
	for _, l := range lines {
		if l.Text("service") == service && strings.HasPrefix(l.Message, "keys ") && coversKey(l, key) && !l.Time().After(until) {
			out = append(out, describe(l))
		}
	}
	return out
}

// Owner returns the server that owns a key at a time and the line that says so; the server is ""
// if the key had none or the lines do not tell.
func Owner(lines []logline.Line, service string, key int64, at time.Time) (string, logline.Line) {
	owner, evidence := "", logline.Line{}
	for _, l := range lines {
		if l.Text("service") != service || !coversKey(l, key) || l.Time().After(at) {
			continue
		}
		switch l.Message {
		case granted:
			owner, evidence = l.Text("server"), l
		case "keys released", "keys lapsed", "keys ended":
			if l.Text("server") == owner || owner == "" {
				owner, evidence = "", l
			}
		}
	}
	return owner, evidence
}
