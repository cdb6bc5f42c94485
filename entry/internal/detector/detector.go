// Package detector finds out at the leaseholder whether a backend server is alive.
//
// The evidence is what the leaseholder sees itself: connections that are refused,
// requests without any answer and probes on new connections. A server that does
// not answer is probed; two failures in a row, probes without an answer or refused
// connections, make it failed. A failed server rejoins after a time of good
// probes and gets its slots one by one.
//
// A byte on any connection shows that the server runs, so a probe counts as
// missed only if nothing at all was heard since it was sent.
//
// # Usage
//
// The detector is a state machine without I/O and without a lock. The caller
// reports events, sends a probe on a new connection whenever ProbeDue says so and
// calls Tick at least every 50 ms.
//
//	d := detector.New(time.Now())
//	d.Sent(now, connection, expected)
//	d.Received(now, connection)
//	if d.ProbeDue(now) {
//		d.ProbeSent(now)
//		// Open a connection and send the probe.
//	}
//	d.Tick(now)
//	queue.SetSlots(d.Slots(now, upstream.Slots))
//	for _, c := range d.Silent(now) {
//		// Close the connection; its request has an unknown outcome.
//	}
package detector

import (
	"slices"
	"time"

	"bramleystand.org/entry/internal/control"
)

const (
	// quietLimit is how long a server may send nothing while something is expected from it.
	quietLimit = 300 * time.Millisecond
	// probeTimeout is how long a probe may remain without an answer. A probe takes about 6 ms.
	probeTimeout = 200 * time.Millisecond
	// probeMisses is the number of probes in a row without an answer that make a server failed.
	probeMisses = 2
	// busyProbe is the quiet time after which a server with requests in flight is probed. It is half
	// of quietLimit, so that a server with long requests is not suspected between their answers.
	busyProbe = 150 * time.Millisecond
	// idleProbe is the quiet time after which an idle server is probed. With two timeouts it makes
	// 700 ms, the time in which a lost server has to be detected.
	idleProbe = 300 * time.Millisecond
	// refusedAgain is the least time between two refused connections that make a server failed.
	// A server that is restarted by its supervisor at once may refuse several in a shorter time.
	refusedAgain = 50 * time.Millisecond
	// rejoinTime is how long a failed server must answer all probes before it rejoins.
	rejoinTime = 5 * time.Second
	// slotTime is the time after which a rejoined or cold server gets another slot.
	slotTime = time.Second
)

// Detector is the state of one backend server as its leaseholder sees it.
type Detector struct {
	state control.ServerState
	since time.Time
	// heard is when the last byte or probe answer came.
	heard time.Time
	// probeSent is when the last probe was sent; probing tells whether it is still unanswered.
	probeSent time.Time
	probing   bool
	misses    int
	// worked is when the last answered probe was sent.
	worked time.Time
	// refused is when the first of the refused connections since the last answer was tried, or zero.
	refused time.Time
	// good is when the failed server answered the first of the present run of good probes, or zero.
	good time.Time
	// cold is when the slow start began, or zero if all slots are in use.
	cold     time.Time
	links    map[Connection]link
	failures uint64
	probes   uint64
}

// New returns the detector of a server that is taken to be alive.
func New(now time.Time) *Detector {
	return &Detector{since: now, heard: now, links: make(map[Connection]link)}
}

// SlowStart gives a cold server one slot now and one more after each slotTime.
func (d *Detector) SlowStart(now time.Time) {
	d.cold = now
}

// Sent reports a request on a connection; expected is when its first byte is overdue. It must lie
// far beyond the usual service time, because the connection of an overdue request is given up.
func (d *Detector) Sent(now time.Time, c Connection, expected time.Time) {
	d.links[c] = link{heard: now, expected: expected}
}

// Received reports bytes on a connection; more is when the next byte is overdue.
func (d *Detector) Received(now time.Time, c Connection, more time.Time) {
	if _, ok := d.links[c]; ok {
		d.links[c] = link{heard: now, expected: more}
	}
	d.answered(now)
}

// Finished reports that a connection expects nothing any more: its request has its answer, or it was closed.
func (d *Detector) Finished(c Connection) {
	delete(d.links, c)
}

// ProbeRefused reports that the server refused the connection of the probe.
func (d *Detector) ProbeRefused(now time.Time) {
	d.probing = false
	d.Refused(now)
}

// Refused reports that the server refused a new connection for a request.
func (d *Detector) Refused(now time.Time) {
	d.good = time.Time{}
	switch {
	case d.state == control.Failed:
	case d.misses > 0 || !d.refused.IsZero() && now.Sub(d.refused) >= refusedAgain:
		d.fail(now)
	case d.refused.IsZero():
		d.refused = now
		d.become(now, control.Suspected)
	}
}

// Broken reports that a connection with a request in flight broke; the server is probed at once.
func (d *Detector) Broken(now time.Time, c Connection) {
	delete(d.links, c)
	if d.state == control.Alive {
		d.become(now, control.Suspected)
	}
}

// ProbeDue reports whether a probe should be sent now.
func (d *Detector) ProbeDue(now time.Time) bool {
	return !d.probing && !now.Before(d.NextProbe())
}

// NextProbe returns when the next probe is due if nothing is heard until then.
func (d *Detector) NextProbe() time.Time {
	next := later(d.probeSent.Add(probeTimeout), d.since)
	switch {
	case d.state == control.Failed:
		return next
	case !d.refused.IsZero():
		return later(d.probeSent, d.refused).Add(refusedAgain)
	case d.state == control.Suspected || d.misses > 0:
		return next
	}
	wait := idleProbe
	if len(d.links) > 0 {
		wait = busyProbe
	}
	next = d.heard.Add(wait)
	for _, l := range d.links {
		if l.expected.Before(next) && d.worked.Before(l.expected) {
			next = l.expected
		}
	}
	return next
}

// ProbeSent reports a probe on a new connection.
func (d *Detector) ProbeSent(now time.Time) {
	d.probing, d.probeSent = true, now
	d.probes++
}

// ProbeAnswered reports the answer to the probe.
func (d *Detector) ProbeAnswered(now time.Time) {
	if !d.probing {
		return
	}
	d.probing = false
	d.worked = d.probeSent
	d.answered(now)
	if d.state != control.Failed {
		return
	}
	if d.good.IsZero() {
		d.good = now
	}
	if now.Sub(d.good) >= rejoinTime {
		d.become(now, control.Alive)
		d.good = time.Time{}
		d.SlowStart(now)
	}
}

// ProbeFailed reports that the probe broke or timed out; a refused one is reported by ProbeRefused.
func (d *Detector) ProbeFailed(now time.Time) {
	if d.probing {
		d.missed(now)
	}
}

// Tick judges what did not happen.
func (d *Detector) Tick(now time.Time) {
	if d.probing && now.Sub(d.probeSent) >= probeTimeout {
		d.missed(now)
	}
	waits := len(d.links) > 0 || d.probing || d.misses > 0
	if d.state == control.Alive && waits && now.Sub(d.heard) >= quietLimit && d.quiet(now) {
		d.become(now, control.Suspected)
	}
}

// State returns the present verdict on the server.
func (d *Detector) State() control.ServerState {
	return d.state
}

// Answering reports whether requests may be sent: a failed server gets none until it answers a probe.
func (d *Detector) Answering() bool {
	return d.state != control.Failed || !d.good.IsZero()
}

// Slots returns how many of the configured slots may be used.
func (d *Detector) Slots(now time.Time, configured int) int {
	if d.state == control.Failed {
		return 0
	}
	if d.cold.IsZero() {
		return configured
	}
	slots := min(configured, 1+int(now.Sub(d.cold)/slotTime))
	if slots == configured {
		d.cold = time.Time{}
	}
	return slots
}

// Silent returns the connections whose answer is overdue although a new connection has worked since.
func (d *Detector) Silent(now time.Time) []Connection {
	var out []Connection
	for c, l := range d.links {
		if !now.Before(l.expected) && !d.worked.Before(l.expected) {
			out = append(out, c)
		}
	}
	slices.Sort(out)
	return out
}

// Dump returns a snapshot.
func (d *Detector) Dump(now time.Time) State {
	s := State{
		Server: d.state.String(), Since: d.since, Heard: d.heard, Misses: d.misses, InFlight: len(d.links),
		Silent: len(d.Silent(now)), ProbeSent: d.probeSent, ProbeDue: d.NextProbe(), Failures: d.failures, Probes: d.probes,
	}
	if !d.good.IsZero() {
		s.RejoinAfter = d.good.Add(rejoinTime)
	}
	return s
}

// quiet reports whether the oldest thing that is expected of the server has been expected for quietLimit.
func (d *Detector) quiet(now time.Time) bool {
	if d.misses > 0 || d.probing && now.Sub(d.probeSent) >= quietLimit {
		return true
	}
	for _, l := range d.links {
		if now.Sub(l.heard) >= quietLimit {
			return true
		}
	}
	return false
}

// answered notes a sign of life.
func (d *Detector) answered(now time.Time) {
	d.heard = now
	d.misses = 0
	d.refused = time.Time{}
	if d.state == control.Suspected {
		d.become(now, control.Alive)
	}
}

// missed notes a probe without an answer.
func (d *Detector) missed(now time.Time) {
	d.probing = false
	if d.state == control.Failed {
		d.good = time.Time{}
		return
	}
	if d.heard.After(d.probeSent) {
		return
	}
	d.misses++
	if d.misses >= probeMisses || !d.refused.IsZero() {
		d.fail(now)
	}
}

// fail declares the server failed.
func (d *Detector) fail(now time.Time) {
	d.failures++
	d.misses = 0
	d.refused, d.good = time.Time{}, time.Time{}
	d.become(now, control.Failed)
}

// become changes the state.
func (d *Detector) become(now time.Time, state control.ServerState) {
	if d.state != state {
		d.state, d.since = state, now
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
