package process

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/detector"
)

// probeTimeout bounds a probe; the detector takes it as missed earlier.
const probeTimeout = time.Second

// prober sends a probe on a new connection.
type prober interface {
	Probe(ctx context.Context) error
}

// monitor feeds the detector of one backend server and sends its probes.
type monitor struct {
	prober     prober
	configured int

	mu       sync.Mutex
	detector *detector.Detector
	next     uint64
	last     control.ServerState
	// refused says that the server refused the connection of the latest probe.
	refused bool
}

func newMonitor(p prober, slots int, now time.Time) *monitor {
	return &monitor{prober: p, configured: slots, detector: detector.New(now)}
}

// Sent implements upstream.Monitor.
func (m *monitor) Sent(now, deadline time.Time) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next++
	m.detector.Sent(now, detector.Connection(m.next), deadline)
	return m.next
}

// Answered implements upstream.Monitor. The rest of the answer is not expected at
// any time, because its caller may read slowly.
func (m *monitor) Answered(now time.Time, id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.Received(now, detector.Connection(id), now)
	m.detector.Finished(detector.Connection(id))
}

// Broken implements upstream.Monitor.
func (m *monitor) Broken(now time.Time, id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.Broken(now, detector.Connection(id))
}

// Refused implements upstream.Monitor.
func (m *monitor) Refused(now time.Time, id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.Finished(detector.Connection(id))
	m.detector.Refused(now)
}

// Finished implements upstream.Monitor.
func (m *monitor) Finished(id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.Finished(detector.Connection(id))
}

// tick sends a probe if one is due, and returns the verdict and whether it is new.
func (m *monitor) tick(ctx context.Context, now time.Time) (control.ServerState, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.detector.ProbeDue(now) {
		m.detector.ProbeSent(now)
		go m.probe(ctx)
	}
	m.detector.Tick(now)
	state := m.detector.State()
	changed := state != m.last
	m.last = state
	return state, changed
}

func (m *monitor) probe(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := m.prober.Probe(bounded)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.refused = errors.Is(err, syscall.ECONNREFUSED)
	switch {
	case err == nil:
		m.detector.ProbeAnswered(now)
	case m.refused:
		m.detector.ProbeRefused(now)
	default:
		m.detector.ProbeFailed(now)
	}
}

// gone reports whether the server refused the connection of the latest probe.
func (m *monitor) gone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refused
}

// answering reports whether requests may be sent to the server.
func (m *monitor) answering() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.Answering()
}

// slots returns how many slots may be used; at least one, since a failed server
// gets no requests anyway once its shards have moved.
func (m *monitor) slots() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(1, m.detector.Slots(time.Now(), m.configured))
}

func (m *monitor) dump() detector.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.Dump(time.Now())
}
