// Package detector is the leaseholder's failure detector for a backend server.
//
// It uses only what the leaseholder observes itself: refused connections, requests
// without a response, and probes on new connections. A server that does not respond
// is probed. Two failures in a row, either probes without a response or refused
// connections, make it failed. A failed server rejoins after it has answered all
// probes for some time, and then gets its slots one by one.
//
// A byte on any connection shows that the server runs, so a probe counts as
// missed only if nothing at all was received since it was sent.
//
// # Usage
//
// The detector is a state machine without I/O and without a lock. The caller
// reports events, sends a probe on a new connection whenever ProbeDue says so and
// calls Tick at least every 50 ms.
//
//	d := detector.New(time.Now())
//	d.RequestSent(now, connection, overdueAt)
//	d.BytesReceived(now, connection, nextOverdueAt)
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
	// silenceLimit is how long a server may send nothing while a response is expected from it.
	silenceLimit = 300 * time.Millisecond
	// probeTimeout is how long a probe may remain without a response. A probe takes about 6 ms.
	probeTimeout = 200 * time.Millisecond
	// maxMissedProbes is the number of probes in a row without a response that make a server failed.
	maxMissedProbes = 2
	// busyProbeDelay is the time without any byte after which a server with requests in flight is probed. It is
	// half of silenceLimit, so that a server with long requests is not suspected between their responses.
	busyProbeDelay = 150 * time.Millisecond
	// idleProbeDelay is the time without any byte after which an idle server is probed. Together with two
	// probe timeouts it makes 700 ms, the time within which a lost server must be detected.
	idleProbeDelay = 300 * time.Millisecond
	// minRefusalGap is the least time between two refused connections that make a server failed.
	// A server that its supervisor restarts at once may refuse several connections in a shorter time.
	minRefusalGap = 50 * time.Millisecond
	// rejoinDelay is how long a failed server must answer all probes before it rejoins.
	rejoinDelay = 5 * time.Second
	// slowStartInterval is the time after which a rejoined or newly started server gets another slot.
	slowStartInterval = time.Second
)

// Detector tracks the state of one backend server. It is not safe for concurrent use.
type Detector struct {
	state      control.ServerState
	stateSince time.Time
	// lastHeard is when the last byte or probe response was received.
	lastHeard time.Time
	// probeSent is when the last probe was sent; probePending tells whether its response is still awaited.
	probeSent    time.Time
	probePending bool
	missedProbes int
	// answeredProbeSent is when the last answered probe was sent.
	answeredProbeSent time.Time
	// firstRefusal is when the server refused the first connection since its last response, or zero.
	firstRefusal time.Time
	// answeringSince is when the failed server answered the first probe since the last one that failed, or zero.
	answeringSince time.Time
	// slowStartSince is when the slow start began, or zero if all slots may be used.
	slowStartSince time.Time
	pending        map[Connection]pendingResponse
	failures       uint64
	probes         uint64
}

// New returns a detector that takes the server to be alive.
func New(now time.Time) *Detector {
	return &Detector{stateSince: now, lastHeard: now, pending: make(map[Connection]pendingResponse)}
}

// BeginSlowStart gives a newly started server one slot now and one more after each slowStartInterval.
func (d *Detector) BeginSlowStart(now time.Time) {
	d.slowStartSince = now
}

// RequestSent reports a request on a connection; overdueAt is when the first byte of its response becomes overdue. It
// must be far beyond the usual service time, because Silent returns the connection of an overdue response to be closed.
func (d *Detector) RequestSent(now time.Time, c Connection, overdueAt time.Time) {
	d.pending[c] = pendingResponse{lastActivity: now, overdueAt: overdueAt}
}

// BytesReceived reports bytes on a connection; nextOverdueAt is when the next byte becomes overdue.
func (d *Detector) BytesReceived(now time.Time, c Connection, nextOverdueAt time.Time) {
	if _, ok := d.pending[c]; ok {
		d.pending[c] = pendingResponse{lastActivity: now, overdueAt: nextOverdueAt}
	}
	d.recordResponse(now)
}

// ResponseFinished reports that no response is expected on a connection any more: it was received in full, or the
// connection was closed.
func (d *Detector) ResponseFinished(c Connection) {
	delete(d.pending, c)
}

// ProbeRefused reports that the server refused the connection of the probe.
func (d *Detector) ProbeRefused(now time.Time) {
	d.probePending = false
	d.ConnectionRefused(now)
}

// ConnectionRefused reports that the server refused a new connection for a request.
func (d *Detector) ConnectionRefused(now time.Time) {
	d.answeringSince = time.Time{}
	switch {
	case d.state == control.Failed:
	case d.missedProbes > 0 || !d.firstRefusal.IsZero() && now.Sub(d.firstRefusal) >= minRefusalGap:
		d.markFailed(now)
	case d.firstRefusal.IsZero():
		d.firstRefusal = now
		d.setState(now, control.Suspected)
	}
}

// ConnectionBroken reports that a connection with a request in flight broke. A server that was alive becomes suspected,
// so that it is probed without waiting for a time of silence.
func (d *Detector) ConnectionBroken(now time.Time, c Connection) {
	delete(d.pending, c)
	if d.state == control.Alive {
		d.setState(now, control.Suspected)
	}
}

// ProbeDue reports whether a probe should be sent now.
func (d *Detector) ProbeDue(now time.Time) bool {
	return !d.probePending && !now.Before(d.NextProbe())
}

// NextProbe returns when the next probe is due if nothing is received until then.
func (d *Detector) NextProbe() time.Time {
	next := laterTime(d.probeSent.Add(probeTimeout), d.stateSince)
	switch {
	case d.state == control.Failed:
		return next
	case !d.firstRefusal.IsZero():
		return laterTime(d.probeSent, d.firstRefusal).Add(minRefusalGap)
	case d.state == control.Suspected || d.missedProbes > 0:
		return next
	}
	wait := idleProbeDelay
	if len(d.pending) > 0 {
		wait = busyProbeDelay
	}
	next = d.lastHeard.Add(wait)
	for _, l := range d.pending {
		if l.overdueAt.Before(next) && d.answeredProbeSent.Before(l.overdueAt) {
			next = l.overdueAt
		}
	}
	return next
}

// ProbeSent reports a probe on a new connection.
func (d *Detector) ProbeSent(now time.Time) {
	d.probePending, d.probeSent = true, now
	d.probes++
}

// ProbeAnswered reports the response to the probe.
func (d *Detector) ProbeAnswered(now time.Time) {
	if !d.probePending {
		return
	}
	d.probePending = false
	d.answeredProbeSent = d.probeSent
	d.recordResponse(now)
	if d.state != control.Failed {
		return
	}
	if d.answeringSince.IsZero() {
		d.answeringSince = now
	}
	if now.Sub(d.answeringSince) >= rejoinDelay {
		d.setState(now, control.Alive)
		d.answeringSince = time.Time{}
		d.BeginSlowStart(now)
	}
}

// ProbeFailed reports that the connection of the probe broke or timed out; a refused one is reported by ProbeRefused.
func (d *Detector) ProbeFailed(now time.Time) {
	if d.probePending {
		d.recordMissedProbe(now)
	}
}

// Tick applies the timeouts: a probe that remains without a response counts as missed, and a server that has been
// silent for too long becomes suspected.
func (d *Detector) Tick(now time.Time) {
	if d.probePending && now.Sub(d.probeSent) >= probeTimeout {
		d.recordMissedProbe(now)
	}
	awaitsResponse := len(d.pending) > 0 || d.probePending || d.missedProbes > 0
	if d.state == control.Alive && awaitsResponse && now.Sub(d.lastHeard) >= silenceLimit && d.silenceLimitReached(now) {
		d.setState(now, control.Suspected)
	}
}

// State returns whether the server counts as alive, suspected or failed.
func (d *Detector) State() control.ServerState {
	return d.state
}

// MaySend reports whether requests may be sent. A failed server gets none until it answers a probe.
func (d *Detector) MaySend() bool {
	return d.state != control.Failed || !d.answeringSince.IsZero()
}

// Slots returns how many of the configured slots may be used.
func (d *Detector) Slots(now time.Time, configured int) int {
	if d.state == control.Failed {
		return 0
	}
	if d.slowStartSince.IsZero() {
		return configured
	}
	slots := min(configured, 1+int(now.Sub(d.slowStartSince)/slowStartInterval))
	if slots == configured {
		d.slowStartSince = time.Time{}
	}
	return slots
}

// Silent returns the connections on which a response is overdue although a probe on a new connection, sent after it
// became overdue, was answered.
func (d *Detector) Silent(now time.Time) []Connection {
	var overdue []Connection
	for c, l := range d.pending {
		if !now.Before(l.overdueAt) && !d.answeredProbeSent.Before(l.overdueAt) {
			overdue = append(overdue, c)
		}
	}
	slices.Sort(overdue)
	return overdue
}

// Dump returns a snapshot of the detector for dumps.
func (d *Detector) Dump(now time.Time) State {
	s := State{
		Server: d.state.String(), Since: d.stateSince, Heard: d.lastHeard, Misses: d.missedProbes, InFlight: len(d.pending),
		Silent: len(d.Silent(now)), ProbeSent: d.probeSent, ProbeDue: d.NextProbe(), Failures: d.failures, Probes: d.probes,
	}
	if !d.answeringSince.IsZero() {
		s.RejoinAfter = d.answeringSince.Add(rejoinDelay)
	}
	return s
}

// silenceLimitReached reports whether a probe was missed, or a response has been awaited for silenceLimit. Tick needs it
// besides lastHeard, because an idle server has been silent for long when a request is sent to it.
func (d *Detector) silenceLimitReached(now time.Time) bool {
	if d.missedProbes > 0 || d.probePending && now.Sub(d.probeSent) >= silenceLimit {
		return true
	}
	for _, l := range d.pending {
		if now.Sub(l.lastActivity) >= silenceLimit {
			return true
		}
	}
	return false
}

// recordResponse records that the server has sent something, which shows that it runs.
func (d *Detector) recordResponse(now time.Time) {
	d.lastHeard = now
	d.missedProbes = 0
	d.firstRefusal = time.Time{}
	if d.state == control.Suspected {
		d.setState(now, control.Alive)
	}
}

// recordMissedProbe records a probe without a response.
func (d *Detector) recordMissedProbe(now time.Time) {
	d.probePending = false
	if d.state == control.Failed {
		d.answeringSince = time.Time{}
		return
	}
	if d.lastHeard.After(d.probeSent) {
		return
	}
	d.missedProbes++
	if d.missedProbes >= maxMissedProbes || !d.firstRefusal.IsZero() {
		d.markFailed(now)
	}
}

// markFailed makes the server failed.
func (d *Detector) markFailed(now time.Time) {
	d.failures++
	d.missedProbes = 0
	d.firstRefusal, d.answeringSince = time.Time{}, time.Time{}
	d.setState(now, control.Failed)
}

// setState changes the state and records when the new one began.
func (d *Detector) setState(now time.Time, state control.ServerState) {
	if d.state != state {
		d.state, d.stateSince = state, now
	}
}

// laterTime returns the later of two times.
func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
