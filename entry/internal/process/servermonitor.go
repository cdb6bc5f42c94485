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

// probeTimeout limits a probe. The detector counts an unanswered probe as missed before
// this timeout.
const probeTimeout = time.Second

// prober sends a probe on a new connection.
type prober interface {
	Probe(ctx context.Context) error
}

// serverMonitor implements upstream.Monitor for one backend server: it reports events to
// the server's failure detector and sends the probes that the detector asks for.
type serverMonitor struct {
	prober          prober
	configuredSlots int

	mu        sync.Mutex
	detector  *detector.Detector
	lastID    uint64
	lastState control.ServerState
	// probeRefused is true if the server refused the connection of the latest probe.
	probeRefused bool
}

func newServerMonitor(p prober, slots int, now time.Time) *serverMonitor {
	return &serverMonitor{prober: p, configuredSlots: slots, detector: detector.New(now)}
}

// RequestSent implements upstream.Monitor.
func (m *serverMonitor) RequestSent(now, deadline time.Time) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastID++
	m.detector.RequestSent(now, detector.Connection(m.lastID), deadline)
	return m.lastID
}

// ResponseStarted implements upstream.Monitor. The detector expects no more bytes of the response
// after this, because the client may read it slowly.
func (m *serverMonitor) ResponseStarted(now time.Time, id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.BytesReceived(now, detector.Connection(id), now)
	m.detector.ResponseFinished(detector.Connection(id))
}

// ConnectionBroken implements upstream.Monitor.
func (m *serverMonitor) ConnectionBroken(now time.Time, id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.ConnectionBroken(now, detector.Connection(id))
}

// ConnectionRefused implements upstream.Monitor.
func (m *serverMonitor) ConnectionRefused(now time.Time, id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.ResponseFinished(detector.Connection(id))
	m.detector.ConnectionRefused(now)
}

// ResponseFinished implements upstream.Monitor.
func (m *serverMonitor) ResponseFinished(id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.ResponseFinished(detector.Connection(id))
}

// tick sends a probe if one is due. It returns the state of the server and whether that
// has changed since the last call.
func (m *serverMonitor) tick(ctx context.Context, now time.Time) (control.ServerState, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.detector.ProbeDue(now) {
		m.detector.ProbeSent(now)
		go m.probe(ctx)
	}
	m.detector.Tick(now)
	state := m.detector.State()
	changed := state != m.lastState
	m.lastState = state
	return state, changed
}

// probe sends one probe and reports its result to the detector.
func (m *serverMonitor) probe(ctx context.Context) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := m.prober.Probe(probeCtx)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.probeRefused = errors.Is(err, syscall.ECONNREFUSED)
	switch {
	case err == nil:
		m.detector.ProbeAnswered(now)
	case m.probeRefused:
		m.detector.ProbeRefused(now)
	default:
		m.detector.ProbeFailed(now)
	}
}

// refusesConnections reports whether the server refused the connection of the latest probe.
func (m *serverMonitor) refusesConnections() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.probeRefused
}

// acceptsRequests reports whether requests may be sent to the server.
func (m *serverMonitor) acceptsRequests() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.MaySend()
}

// usableSlots returns how many slots may be used. The result is at least one, because a
// failed server gets no requests anyway once its shards have moved.
func (m *serverMonitor) usableSlots() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(1, m.detector.Slots(time.Now(), m.configuredSlots))
}

func (m *serverMonitor) dump() detector.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.Dump(time.Now())
}
