// Package evidence finds out from the log lines of entry processes why a request failed or was
// slow, and which server owned a key.
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
	// causeWindow is how long before the start of a request an event may still have caused its
	// failure: grants are valid for 3 s, and the loss of a server is noticed within 2 s.
	causeWindow = 8 * time.Second
	// comparisonWindow is the time before the start and after the end of a request in which other
	// requests are compared with it.
	comparisonWindow = time.Second
)

// Messages of the log lines that causes are derived from, as the entry processes write them.
const (
	msgServed       = "request served"
	msgNotServed    = "request not served"
	msgRefused      = "request refused"
	msgOrderFailed  = "order failed"
	msgLinesLeftOut = "log lines left out"
	msgKeysMoving   = "keys moving"
	msgKeysGranted  = "keys granted"
	msgLeaving      = "server states that it leaves"
	msgCutOff       = "cut off from backend servers"
	msgNotAccepted  = "call not accepted by another process"
	msgHeld         = "server takes no requests from this process for a time"
)

// Explanation says why a request ended as it did.
type Explanation struct {
	ID string
	// Lines are the lines of the request itself, and Related those of the events that may have
	// caused its result.
	Lines   []logline.Line
	Related []logline.Line
	Cause   string
	// Found is false if the lines do not show the cause.
	Found bool
}

// request is the last line of a request together with all lines that may explain it.
type request struct {
	logline.Line
	start, end  time.Time
	lines       []logline.Line
	explanation *Explanation
}

// Explain finds out why the request with the identifier ended as it did. The lines must be in the
// order of logline.Order.
func Explain(lines []logline.Line, id string) Explanation {
	e := Explanation{ID: id}
	for _, l := range lines {
		if l.Text("id") == id {
			e.Lines = append(e.Lines, l)
		}
	}
	if len(e.Lines) == 0 {
		e.Cause = explainMissing(lines)
		return e
	}
	last := e.Lines[len(e.Lines)-1]
	ms, _ := last.Number("ms")
	r := &request{Line: last, end: last.CommonTime(), start: last.CommonTime().Add(-time.Duration(ms) * time.Millisecond), lines: lines, explanation: &e}
	e.Cause, e.Found = r.findCause()
	return e
}

// explainMissing says why a request may have no line.
func explainMissing(lines []logline.Line) string {
	total := int64(0)
	for _, l := range lines {
		if l.Message == msgLinesLeftOut {
			lines, _ := l.Number("lines")
			total += lines
		}
	}
	if total > 0 {
		return fmt.Sprintf("no line has this identifier; %d lines were left out because of the limit", total)
	}
	return "no line has this identifier: the request did not reach a process whose log was given, or the process ended before it wrote the line"
}

// findCause returns the cause, and whether the lines show it.
func (r *request) findCause() (string, bool) {
	if r.Message == msgRefused {
		return fmt.Sprintf("refused by %s before it was given to a server: %s", r.Process, r.Text("reason")), true
	}
	if r.Message == msgServed {
		return r.explainServed()
	}
	switch r.Text("reason") {
	case "full":
		return r.explainNoSlot()
	case "over limit":
		return r.explainOverLimit()
	case "held off":
		return r.explainHeldOff()
	case "servers leave":
		return r.explainServersLeave()
	case "no owner":
		return r.explainNoOwner()
	case "no server":
		return r.explainNoServer()
	case "unreachable":
		return r.explainUnreachable()
	case "cut off":
		return r.explainCutOff()
	case "peer lost":
		return r.explainUnanswered(fmt.Sprintf("%s sent it through %s, which was lost before the answer (%s)", r.Process, r.Text("peer"), r.Text("error")))
	case "relay full":
		return fmt.Sprintf("%s does not reach the server, and %s had no memory for the body of the request", r.Process, r.Text("peer")), true
	case "not run by server":
		return r.explainNotRun()
	case "no usable answer":
		return r.explainUnusableAnswer()
	case "late":
		return r.explainLate()
	case "client left":
		return r.explainUnanswered(fmt.Sprintf("the client closed its connection after %d ms; %s", r.numberOrZero("ms"), r.describeProgress()))
	case "crashes servers":
		return "the same request has crashed three servers and is refused for ten minutes", true
	case "given up":
		return r.explainUnanswered("its process ended before the answer came; " + r.describeProgress())
	case "stopping":
		return fmt.Sprintf("its process stops and had not sent it to a server after %d ms", r.numberOrZero("ms")), true
	}
	return "unknown reason " + r.Text("reason"), false
}

// numberOrZero returns the value of a numeric field, or 0 if the line does not have it.
func (r *request) numberOrZero(field string) int64 {
	n, _ := r.Number(field)
	return n
}

// describeProgress says whether the request was given to a server and how long it waited for a slot.
func (r *request) describeProgress() string {
	switch {
	case r.numberOrZero("attempts") > 0:
		return fmt.Sprintf("server %s had it (waited %d ms for a slot)", r.Text("server"), r.numberOrZero("wait"))
	case r.numberOrZero("wait") > 0:
		return fmt.Sprintf("it waited %d ms for a slot and was given to no server", r.numberOrZero("wait"))
	}
	return "it was given to no server"
}

// addRelated adds lines to the evidence of the explanation.
func (r *request) addRelated(lines ...logline.Line) {
	r.explanation.Related = append(r.explanation.Related, lines...)
}

// linesAround returns the lines that match, from lead before the start of the request until
// comparisonWindow after its end.
func (r *request) linesAround(lead time.Duration, match func(l logline.Line) bool) []logline.Line {
	var matching []logline.Line
	for _, l := range r.lines {
		if at := l.CommonTime(); !at.Before(r.start.Add(-lead)) && !at.After(r.end.Add(comparisonWindow)) && match(l) {
			matching = append(matching, l)
		}
	}
	return matching
}

// otherRequests returns the matching lines with the results of other requests, from comparisonWindow
// before the start of this request until comparisonWindow after its end.
func (r *request) otherRequests(match func(l logline.Line) bool) []logline.Line {
	return r.linesAround(comparisonWindow, func(l logline.Line) bool {
		return (l.Message == msgServed || l.Message == msgNotServed) && l.Text("id") != r.Text("id") && match(l)
	})
}

// explainServed says where the time of a served request was spent.
func (r *request) explainServed() (string, bool) {
	took, wait := r.numberOrZero("ms"), r.numberOrZero("wait")
	text := fmt.Sprintf("served by %s with status %d after %d ms, of which %d ms were spent waiting for a slot and %d ms waiting for an owner of the key",
		r.Text("server"), r.numberOrZero("status"), took, wait, r.numberOrZero("held"))
	if steps := r.Text("steps"); steps != "" {
		text += "; servers tried: " + steps
	}
	if rest := took - wait; wait > rest {
		text += "; " + r.describeContention()
	}
	events := r.ownershipEvents()
	r.addRelated(events...)
	if len(events) > 0 && r.numberOrZero("held") > 0 {
		text += "; " + describeLine(events[len(events)-1])
	}
	return text, true
}

// explainNoSlot explains a request for which the server had no free slot in time.
func (r *request) explainNoSlot() (string, bool) {
	server := lastServer(r.Line)
	r.addRelated(r.ownershipEvents()...)
	return fmt.Sprintf("no slot of %s in time, after %d ms; %s", server, r.numberOrZero("ms"), r.describeContention()), server != ""
}

// explainOverLimit explains a request that would have exceeded the request limit of its server.
func (r *request) explainOverLimit() (string, bool) {
	server := lastServer(r.Line)
	rate, known := r.Fields()["rate"].(float64)
	r.addRelated(r.ownershipEvents()...)
	return fmt.Sprintf("%s takes %v requests a second from all processes together, as it had named %d ms before, and had got as many", server, rate, r.numberOrZero("heard")), known && server != ""
}

// explainServersLeave explains a request whose service had only servers that leave.
func (r *request) explainServersLeave() (string, bool) {
	r.addRelated(r.linesAround(causeWindow, func(l logline.Line) bool { return l.Message == msgLeaving })...)
	return fmt.Sprintf("all registered servers of %s leave; none could take key %d", r.Text("service"), r.numberOrZero("key")), true
}

// explainHeldOff explains a request whose servers took no requests from its process until a time.
func (r *request) explainHeldOff() (string, bool) {
	held := r.linesAround(causeWindow, func(l logline.Line) bool { return l.Message == msgHeld && l.Process == r.Process })
	r.addRelated(held...)
	text := fmt.Sprintf("the servers of %s that could run it took no requests from %s, as they had stated with a Retry-After", r.Text("service"), r.Process)
	if server := lastServer(r.Line); server != "" {
		text = fmt.Sprintf("%s took no requests from %s, as it had stated with a Retry-After", server, r.Process)
	}
	return fmt.Sprintf("%s; the client was told to try again after %d ms", text, r.numberOrZero("retry")), true
}

// describeContention counts the other requests of the service around this one that found no slot
// and those that were served, which tells a single full server from a service without free slots.
func (r *request) describeContention() string {
	server := lastServer(r.Line)
	sameServer, noSlot, served := 0, 0, 0
	for _, l := range r.otherRequests(func(l logline.Line) bool { return l.Text("service") == r.Text("service") }) {
		switch {
		case l.Message == msgServed:
			served++
		case l.Text("reason") == "full":
			noSlot++
			if lastServer(l) == server {
				sameServer++
			}
		}
	}
	return fmt.Sprintf("within %s around it %d other requests of %s found no slot, %d of them at the same server, and %d were served", comparisonWindow, noSlot, r.Text("service"), sameServer, served)
}

// lastServer returns the server that was last chosen for a request. Lines have the field "chosen"
// only if it differs from the server in the field "server".
func lastServer(l logline.Line) string {
	if s := l.Text("chosen"); s != "" {
		return s
	}
	return l.Text("server")
}

// explainNoOwner explains a request whose key had no owner that could be used.
func (r *request) explainNoOwner() (string, bool) {
	key, ok := r.Number("key")
	if !ok {
		return "the request names no key, and every server of the service owns some keys only", true
	}
	if events := r.ownershipEvents(); len(events) > 0 {
		r.addRelated(events...)
		last := events[len(events)-1]
		if i := slices.IndexFunc(events, func(l logline.Line) bool { return l.Message == msgKeysMoving }); i >= 0 {
			last = events[i]
		}
		return fmt.Sprintf("key %d had no owner at the time: %s", key, describeLine(last)), true
	}
	if failed := r.linesAround(causeWindow, func(l logline.Line) bool { return l.Message == msgOrderFailed && rangeContainsKey(l, key) }); len(failed) > 0 {
		r.addRelated(failed...)
		return fmt.Sprintf("key %d had no owner at the time: %s", key, describeLine(failed[len(failed)-1])), true
	}
	return r.explainByControlEvents(fmt.Sprintf("key %d had no owner at the time", key))
}

// explainByControlEvents looks for a time without a coordinator or without the store around the
// request and adds its last event to the text.
func (r *request) explainByControlEvents(text string) (string, bool) {
	events := r.linesAround(causeWindow, func(l logline.Line) bool { return isControlMessage(l.Message) })
	r.addRelated(events...)
	if len(events) == 0 {
		return text + "; no line says why", false
	}
	return text + "; " + describeLine(events[len(events)-1]), true
}

// explainNoServer explains a request for which no server could be used.
func (r *request) explainNoServer() (string, bool) {
	if steps := r.Text("steps"); steps != "" {
		return "no server of " + r.Text("service") + " could be used: " + steps, true
	}
	if server := r.Text("server"); server != "" {
		return fmt.Sprintf("no other server of %s than %s could be used; %s", r.Text("service"), server, r.describeContention()), true
	}
	return r.explainByControlEvents("no server of " + r.Text("service") + " was in use")
}

// explainUnreachable explains a request whose server could not be connected to. It looks whether
// the coordinator and other processes reached the server, to tell a server that is down from a
// network partition.
func (r *request) explainUnreachable() (string, bool) {
	server := lastServer(r.Line)
	text := fmt.Sprintf("no connection to %s", server)
	if e := r.Text("error"); e != "" {
		text += " (" + e + ")"
	}
	failed := r.linesAround(causeWindow, func(l logline.Line) bool { return l.Message == msgOrderFailed && l.Text("server") == server })
	reached := r.otherRequests(func(l logline.Line) bool { return l.Message == msgServed && l.Text("server") == server })
	r.addRelated(failed...)
	r.addRelated(r.partitionEvents()...)
	switch {
	case len(failed) > 0 && len(reached) > 0:
		return text + "; the coordinator does not reach it either, but " + reached[0].Process + " does: a partition", true
	case len(failed) > 0:
		return text + "; the coordinator does not reach it either: it is down or cut off", true
	case len(reached) > 0:
		return text + "; " + reached[0].Process + " reaches it: a partition between " + r.Process + " and the server", true
	}
	events := r.ownershipEvents()
	r.addRelated(events...)
	if len(events) > 0 {
		return text + "; " + describeLine(events[len(events)-1]), true
	}
	return text, r.Text("error") != ""
}

// explainCutOff explains a request that could not be sent, or was given up, because its process reached no
// server of the service.
func (r *request) explainCutOff() (string, bool) {
	r.addRelated(r.partitionEvents()...)
	if peer := r.Text("peer"); peer != "" && r.numberOrZero("attempts") == 0 {
		return fmt.Sprintf("%s and %s, the last process asked, reach no server of %s", r.Process, peer, r.Text("service")), true
	}
	return r.explainUnanswered(fmt.Sprintf("%s found that it reaches no server of %s, and gave up waiting for %s", r.Process, r.Text("service"), r.Text("server")))
}

// partitionEvents returns the lines in which a process found that it is cut off, or that a peer accepted no
// call.
func (r *request) partitionEvents() []logline.Line {
	return r.linesAround(causeWindow, func(l logline.Line) bool {
		return l.Message == msgCutOff || l.Message == msgNotAccepted && l.Process == r.Process
	})
}

// explainNotRun explains a request that the server reported as not run.
func (r *request) explainNotRun() (string, bool) {
	text := fmt.Sprintf("server %s stated that it did not run the request", r.Text("server"))
	if steps := r.Text("steps"); steps != "" {
		text += "; servers tried: " + steps
	}
	events := r.ownershipEvents()
	r.addRelated(events...)
	if len(events) > 0 {
		return text + "; its key was on the move: " + describeLine(events[len(events)-1]), true
	}
	return text + "; " + r.describeContention(), true
}

// explainUnusableAnswer explains a request whose response could not be used; the server may have run
// it.
func (r *request) explainUnusableAnswer() (string, bool) {
	server := r.Text("server")
	serverEvents := r.linesAround(causeWindow, func(l logline.Line) bool {
		return l.Message == msgOrderFailed && l.Text("server") == server || l.Message == "keys ended" && l.Text("server") == server
	})
	r.addRelated(serverEvents...)
	text := fmt.Sprintf("%s had the request and gave no usable answer (%s); it may have run", server, r.Text("error"))
	if len(serverEvents) > 0 {
		text += "; " + describeLine(serverEvents[len(serverEvents)-1])
	}
	return text, r.Text("error") != ""
}

// explainLate explains a request that was not answered before its deadline.
func (r *request) explainLate() (string, bool) {
	return r.explainUnanswered(fmt.Sprintf("no answer before the deadline, %d ms after it came; %s", r.numberOrZero("limit"), r.describeProgress()))
}

// explainUnanswered explains a request whose deadline passed or whose client disconnected: it may
// have run, or it was delayed by a change of its key's owner or by a lack of slots.
func (r *request) explainUnanswered(text string) (string, bool) {
	if r.numberOrZero("attempts") > 0 {
		return text + "; it may have run", true
	}
	if events := r.ownershipEvents(); len(events) > 0 {
		r.addRelated(events...)
		return text + "; " + describeLine(events[len(events)-1]), true
	}
	return text + "; " + r.describeContention(), true
}
