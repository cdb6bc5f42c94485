package evidence

import (
	"fmt"
	"strings"
	"time"

	"bramleystand.org/bramleyctl/internal/logline"
)

// ownershipEvents returns the lines about changes of the owner of the request's key around the
// request, or none if the request has no key.
func (r *request) ownershipEvents() []logline.Line {
	key, ok := r.Number("key")
	if !ok {
		return nil
	}
	return r.linesAround(causeWindow, func(l logline.Line) bool {
		return strings.HasPrefix(l.Message, "keys ") && l.Text("service") == r.Text("service") && rangeContainsKey(l, key)
	})
}

// rangeContainsKey reports whether the key range of a line contains a key.
func rangeContainsKey(l logline.Line, key int64) bool {
	first, firstOK := l.Number("first")
	last, lastOK := l.Number("last")
	return firstOK && lastOK && first <= key && key <= last
}

// isControlMessage reports whether a message is about the coordinator's role, the store, or the
// start or stop of a process.
func isControlMessage(message string) bool {
	switch message {
	case "coordinator", "no longer coordinator", "lock not renewed", "coordinator not followed",
		"store can't be read", "store can be read again", "watch ended", "started", "stopping":
		return true
	}
	return false
}

// describeLine returns a line as an English phrase.
func describeLine(l logline.Line) string {
	at := l.CommonTime().Format("15:04:05.000")
	keyRange := func() string {
		first, _ := l.Number("first")
		last, _ := l.Number("last")
		return fmt.Sprintf("keys %d to %d of %s", first, last, l.Text("service"))
	}
	term, _ := l.Number("term")
	switch l.Message {
	case msgKeysMoving:
		from := l.Text("from")
		if from == "" {
			from = "nobody"
		}
		return fmt.Sprintf("at %s coordinator %s (term %d) began to move %s from %s to %s, because: %s", at, l.Process, term, keyRange(), from, l.Text("server"), l.Text("reason"))
	case msgKeysGranted, "keys released", "keys lapsed", "keys ended":
		return fmt.Sprintf("at %s coordinator %s (term %d) noted: %s %s by %s, fence %s", at, l.Process, term, keyRange(), strings.TrimPrefix(l.Message, "keys "), l.Text("server"), l.Text("fence"))
	case msgOrderFailed:
		return fmt.Sprintf("at %s coordinator %s could not give an order (%s) to %s: %s", at, l.Process, l.Text("reason"), l.Text("server"), l.Text("error"))
	}
	text := fmt.Sprintf("at %s %s: %s", at, l.Process, l.Message)
	if e := l.Text("error"); e != "" {
		text += " (" + e + ")"
	}
	return text
}

// History describes the changes of the owner of a key until a time, the latest last.
func History(lines []logline.Line, service string, key int64, until time.Time) []string {
	var steps []string
	for _, l := range lines {
		if l.Text("service") == service && strings.HasPrefix(l.Message, "keys ") && rangeContainsKey(l, key) && !l.CommonTime().After(until) {
			steps = append(steps, describeLine(l))
		}
	}
	return steps
}

// Owner returns the server that owned a key at a time and the line that shows it. The server is ""
// if the key had no owner or the lines do not show one.
func Owner(lines []logline.Line, service string, key int64, at time.Time) (string, logline.Line) {
	owner, source := "", logline.Line{}
	for _, l := range lines {
		if l.Text("service") != service || !rangeContainsKey(l, key) || l.CommonTime().After(at) {
			continue
		}
		switch l.Message {
		case msgKeysGranted:
			owner, source = l.Text("server"), l
		case "keys released", "keys lapsed", "keys ended":
			if l.Text("server") == owner || owner == "" {
				owner, source = "", l
			}
		}
	}
	return owner, source
}
