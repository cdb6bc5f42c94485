package detector_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/detector"
)

const (
	stepTime      = 10 * time.Millisecond
	responseDelay = 10 * time.Millisecond
	noDeadline    = time.Hour
)

// fakeServer simulates a backend server together with its leaseholder in steps of stepTime.
type fakeServer struct {
	*detector.Detector
	now time.Time
	// unresponsive means that connections are accepted and nothing is answered; refusing means that they are refused.
	unresponsive, refusing bool
	// serviceTime is how long each request takes. On each connection the next request follows at once; zero sends none.
	serviceTime    time.Duration
	connections    detector.Connection
	sent           map[detector.Connection]time.Time
	probeSent      time.Time
	suspectedSteps int
	lastResponse   time.Time
}

// newFakeServer returns a server that has just been found alive.
func newFakeServer(serviceTime time.Duration) *fakeServer {
	start := time.Unix(0, 0)
	return &fakeServer{Detector: detector.New(start), now: start, serviceTime: serviceTime, connections: 2, sent: map[detector.Connection]time.Time{}}
}

// run advances the simulated time and sends probes when they are due.
func (s *fakeServer) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(stepTime)
		s.serveRequests()
		if !s.probeSent.IsZero() && !s.unresponsive && !s.refusing && s.now.Sub(s.probeSent) >= responseDelay {
			s.probeSent = time.Time{}
			s.lastResponse = s.now
			s.ProbeAnswered(s.now)
		}
		s.Tick(s.now)
		if s.ProbeDue(s.now) {
			s.ProbeSent(s.now)
			s.probeSent = s.now
			if s.refusing {
				s.probeSent = time.Time{}
				s.ProbeRefused(s.now)
			}
		}
		if s.State() == control.Suspected {
			s.suspectedSteps++
		}
	}
}

// serveRequests answers the requests whose service time has passed and sends the next ones.
func (s *fakeServer) serveRequests() {
	if s.serviceTime == 0 {
		return
	}
	for c := range s.connections {
		sent, busy := s.sent[c]
		if busy && !s.unresponsive && !s.refusing && s.now.Sub(sent) >= s.serviceTime {
			s.lastResponse = s.now
			s.BytesReceived(s.now, c, s.now.Add(noDeadline))
			s.ResponseFinished(c)
			busy = false
		}
		if !busy && !s.refusing {
			s.RequestSent(s.now, c, s.now.Add(noDeadline))
			s.sent[c] = s.now
		}
	}
}

// Guards against a lost server that is detected too late for the bound of 3 s, whether it is busy or idle, and whether it
// stops answering or refuses connections.
func TestLostServer(t *testing.T) {
	for _, serviceTime := range []time.Duration{0, 20 * time.Millisecond, 2 * time.Second} {
		for _, unresponsive := range []bool{true, false} {
			s := newFakeServer(serviceTime)
			s.run(time.Second)
			must.Eq(t, control.Alive, s.State())
			s.unresponsive, s.refusing = unresponsive, !unresponsive
			s.run(700*time.Millisecond + 2*stepTime)
			must.Eq(t, control.Failed, s.State())
			must.Zero(t, s.Slots(s.now, 6))
		}
	}
}

// Guards against a server that is suspected only because its requests take long.
func TestLongRequests(t *testing.T) {
	s := newFakeServer(5 * time.Second)
	s.run(time.Minute)
	must.Zero(t, s.suspectedSteps)
}

// Guards against a failed server that rejoins before it has answered all probes for 5 s, or that gets all slots at once.
func TestRejoin(t *testing.T) {
	s := newFakeServer(0)
	s.unresponsive = true
	s.run(time.Second)
	s.unresponsive = false
	s.run(4 * time.Second)
	s.unresponsive = true
	s.run(time.Second)
	s.unresponsive = false
	s.run(4900 * time.Millisecond)
	must.Eq(t, control.Failed, s.State())
	s.run(500 * time.Millisecond)
	must.Eq(t, control.Alive, s.State())
	must.Eq(t, 1, s.Slots(s.now, 3))
	s.run(time.Second)
	must.Eq(t, 2, s.Slots(s.now, 3))
	s.run(time.Minute)
	must.Eq(t, 3, s.Slots(s.now, 3))
}

// Guards against a live server that becomes failed after a pause of the leaseholder, because every response then seems
// overdue.
func TestPausedLeaseholder(t *testing.T) {
	s := newFakeServer(20 * time.Millisecond)
	s.run(time.Second)
	s.now = s.now.Add(time.Minute)
	s.Tick(s.now)
	s.Tick(s.now)
	must.NotEq(t, control.Failed, s.State())
	s.run(100 * time.Millisecond)
	must.Eq(t, control.Alive, s.State())
}

// Guards against a silent connection that is never reported although the server answers probes, and against one that is
// reported while the whole server is silent.
func TestSilentConnection(t *testing.T) {
	for _, unresponsive := range []bool{false, true} {
		s := newFakeServer(0)
		s.unresponsive = unresponsive
		s.RequestSent(s.now, 1, s.now.Add(500*time.Millisecond))
		s.RequestSent(s.now, 2, s.now.Add(noDeadline))
		s.run(490 * time.Millisecond)
		must.SliceEmpty(t, s.Silent(s.now))
		s.run(100 * time.Millisecond)
		if unresponsive {
			must.SliceEmpty(t, s.Silent(s.now))
			continue
		}
		must.Eq(t, []detector.Connection{1}, s.Silent(s.now))
		must.Eq(t, control.Alive, s.State())
		s.ResponseFinished(1)
		must.SliceEmpty(t, s.Silent(s.now))
	}
}

// Guards against a server that becomes failed after a single refused or broken connection, or after several refusals
// within less than 50 ms.
func TestRefusedConnections(t *testing.T) {
	s := newFakeServer(0)
	s.ConnectionRefused(s.now)
	s.ConnectionRefused(s.now.Add(40 * time.Millisecond))
	must.Eq(t, control.Suspected, s.State())
	s.run(200 * time.Millisecond)
	must.Eq(t, control.Alive, s.State())
	s.ConnectionBroken(s.now, 1)
	must.Eq(t, control.Suspected, s.State())
	must.True(t, s.ProbeDue(s.now.Add(200*time.Millisecond)))
	s.ConnectionRefused(s.now)
	s.ConnectionRefused(s.now.Add(50 * time.Millisecond))
	must.Eq(t, control.Failed, s.State())
}

// Guards against a server that becomes failed after a single lost probe, or after lost probes although it answers
// requests.
func TestLostProbes(t *testing.T) {
	s := newFakeServer(0)
	missProbe := func() {
		s.ProbeSent(s.now)
		s.now = s.now.Add(200 * time.Millisecond)
		s.Tick(s.now)
	}
	missProbe()
	must.NotEq(t, control.Failed, s.State())
	s.ProbeSent(s.now)
	s.ProbeAnswered(s.now.Add(stepTime))
	s.now = s.now.Add(stepTime)
	for range 5 {
		s.ProbeSent(s.now)
		s.now = s.now.Add(100 * time.Millisecond)
		s.BytesReceived(s.now, 1, s.now.Add(noDeadline))
		s.ProbeFailed(s.now)
	}
	must.Eq(t, control.Alive, s.State())
	missProbe()
	s.ProbeRefused(s.now)
	must.Eq(t, control.Failed, s.State())
}

// Guards against a detector state that contradicts the real one after any sequence of outages and recoveries: a server
// that fails or rejoins too early, or is detected as lost or alive too late.
func TestOutageSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		serviceTimes := []time.Duration{0, 20 * time.Millisecond, 700 * time.Millisecond}
		s := newFakeServer(rapid.SampledFrom(serviceTimes).Draw(t, "service"))
		outageTime, healthyTime := time.Duration(0), time.Minute
		var failedAt, lastOutage time.Time
		for range rapid.IntRange(1, 30).Draw(t, "phases") {
			kind := rapid.IntRange(0, 2).Draw(t, "kind")
			s.unresponsive, s.refusing = kind == 1, kind == 2
			for range rapid.IntRange(1, 700).Draw(t, "steps") {
				before := s.State()
				s.run(stepTime)
				if s.unresponsive || s.refusing {
					outageTime, healthyTime = outageTime+stepTime, 0
				} else {
					outageTime, healthyTime = 0, healthyTime+stepTime
				}
				if outageTime >= 450*time.Millisecond {
					// The detector may not notice a shorter outage, because it can fall between two probes.
					lastOutage = s.now
				}
				if before != control.Failed && s.State() == control.Failed {
					must.True(t, s.now.Sub(s.lastResponse) >= 50*time.Millisecond)
					failedAt = s.now
				}
				if before == control.Failed && s.State() != control.Failed {
					must.True(t, s.now.Sub(failedAt) >= 5*time.Second)
					must.True(t, s.now.Sub(lastOutage) >= 5*time.Second)
				}
				must.False(t, outageTime > 720*time.Millisecond && s.State() != control.Failed)
				must.False(t, healthyTime > 5600*time.Millisecond && s.State() != control.Alive)
			}
		}
	})
}
