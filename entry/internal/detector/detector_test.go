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
	step   = 10 * time.Millisecond
	answer = 10 * time.Millisecond
	never  = time.Hour
)

// server is a fake backend server with its leaseholder, driven in steps.
type server struct {
	*detector.Detector
	now time.Time
	// frozen accepts connections and answers nothing; gone refuses connections.
	frozen, gone bool
	// service is the service time of requests, which follow each other on each of the connections; zero means idle.
	service     time.Duration
	connections detector.Connection
	sent        map[detector.Connection]time.Time
	probe       time.Time
	suspected   int
	last        time.Time
}

// newServer returns a server that has just been found alive.
func newServer(service time.Duration) *server {
	start := time.Unix(0, 0)
	return &server{Detector: detector.New(start), now: start, service: service, connections: 2, sent: map[detector.Connection]time.Time{}}
}

// run lets time pass, with probes sent when they are due.
func (s *server) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		s.serve()
		if !s.probe.IsZero() && !s.frozen && !s.gone && s.now.Sub(s.probe) >= answer {
			s.probe = time.Time{}
			s.last = s.now
			s.ProbeAnswered(s.now)
		}
		s.Tick(s.now)
		if s.ProbeDue(s.now) {
			s.ProbeSent(s.now)
			s.probe = s.now
			if s.gone {
				s.probe = time.Time{}
				s.ProbeRefused(s.now)
			}
		}
		if s.State() == control.Suspected {
			s.suspected++
		}
	}
}

// serve answers and sends requests.
func (s *server) serve() {
	if s.service == 0 {
		return
	}
	for c := range s.connections {
		sent, busy := s.sent[c]
		if busy && !s.frozen && !s.gone && s.now.Sub(sent) >= s.service {
			s.last = s.now
			s.Received(s.now, c, s.now.Add(never))
			s.Finished(c)
			busy = false
		}
		if !busy && !s.gone {
			s.Sent(s.now, c, s.now.Add(never))
			s.sent[c] = s.now
		}
	}
}

// Guards against a lost server that is found too late for the bound of 3 s, whether it is busy, idle or refuses connections.
func TestLostServer(t *testing.T) {
	for _, service := range []time.Duration{0, 20 * time.Millisecond, 2 * time.Second} {
		for _, frozen := range []bool{true, false} {
			s := newServer(service)
			s.run(time.Second)
			must.Eq(t, control.Alive, s.State())
			s.frozen, s.gone = frozen, !frozen
			s.run(700*time.Millisecond + 2*step)
			must.Eq(t, control.Failed, s.State())
			must.Zero(t, s.Slots(s.now, 6))
		}
	}
}

// Guards against a server that is suspected because its requests take long.
func TestLongRequests(t *testing.T) {
	s := newServer(5 * time.Second)
	s.run(time.Minute)
	must.Zero(t, s.suspected)
}

// Guards against a failed server that comes back too early, or with all slots at once.
func TestRejoin(t *testing.T) {
	s := newServer(0)
	s.frozen = true
	s.run(time.Second)
	s.frozen = false
	s.run(4 * time.Second)
	s.frozen = true
	s.run(time.Second)
	s.frozen = false
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

// Guards against a pause of the leaseholder, after which everything seems overdue, that makes a live server failed.
func TestPausedLeaseholder(t *testing.T) {
	s := newServer(20 * time.Millisecond)
	s.run(time.Second)
	s.now = s.now.Add(time.Minute)
	s.Tick(s.now)
	s.Tick(s.now)
	must.NotEq(t, control.Failed, s.State())
	s.run(100 * time.Millisecond)
	must.Eq(t, control.Alive, s.State())
}

// Guards against a connection that stays silent forever, and against one that is given up while the whole server is silent.
func TestSilentConnection(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		s := newServer(0)
		s.frozen = frozen
		s.Sent(s.now, 1, s.now.Add(500*time.Millisecond))
		s.Sent(s.now, 2, s.now.Add(never))
		s.run(490 * time.Millisecond)
		must.SliceEmpty(t, s.Silent(s.now))
		s.run(100 * time.Millisecond)
		if frozen {
			must.SliceEmpty(t, s.Silent(s.now))
			continue
		}
		must.Eq(t, []detector.Connection{1}, s.Silent(s.now))
		must.Eq(t, control.Alive, s.State())
		s.Finished(1)
		must.SliceEmpty(t, s.Silent(s.now))
	}
}

// Guards against one refused or broken connection that makes a server failed, and against refusals in quick succession.
func TestRefused(t *testing.T) {
	s := newServer(0)
	s.Refused(s.now)
	s.Refused(s.now.Add(40 * time.Millisecond))
	must.Eq(t, control.Suspected, s.State())
	s.run(200 * time.Millisecond)
	must.Eq(t, control.Alive, s.State())
	s.Broken(s.now, 1)
	must.Eq(t, control.Suspected, s.State())
	must.True(t, s.ProbeDue(s.now.Add(200*time.Millisecond)))
	s.Refused(s.now)
	s.Refused(s.now.Add(50 * time.Millisecond))
	must.Eq(t, control.Failed, s.State())
}

// Guards against one lost probe that makes a server failed, and against lost probes that outweigh answers to requests.
func TestLostProbes(t *testing.T) {
	s := newServer(0)
	miss := func() {
		s.ProbeSent(s.now)
		s.now = s.now.Add(200 * time.Millisecond)
		s.Tick(s.now)
	}
	miss()
	must.NotEq(t, control.Failed, s.State())
	s.ProbeSent(s.now)
	s.ProbeAnswered(s.now.Add(step))
	s.now = s.now.Add(step)
	for range 5 {
		s.ProbeSent(s.now)
		s.now = s.now.Add(100 * time.Millisecond)
		s.Received(s.now, 1, s.now.Add(never))
		s.ProbeFailed(s.now)
	}
	must.Eq(t, control.Alive, s.State())
	miss()
	s.ProbeRefused(s.now)
	must.Eq(t, control.Failed, s.State())
}

// Guards against verdicts that contradict the server's state over any sequence of freezes, losses and returns.
func TestSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := []time.Duration{0, 20 * time.Millisecond, 700 * time.Millisecond}
		s := newServer(rapid.SampledFrom(services).Draw(t, "service"))
		bad, good := time.Duration(0), time.Minute
		var failed, outage time.Time
		for range rapid.IntRange(1, 30).Draw(t, "phases") {
			kind := rapid.IntRange(0, 2).Draw(t, "kind")
			s.frozen, s.gone = kind == 1, kind == 2
			for range rapid.IntRange(1, 700).Draw(t, "steps") {
				before := s.State()
				s.run(step)
				if s.frozen || s.gone {
					bad, good = bad+step, 0
				} else {
					bad, good = 0, good+step
				}
				if bad >= 450*time.Millisecond {
					// A shorter outage may fall between two probes.
					outage = s.now
				}
				if before != control.Failed && s.State() == control.Failed {
					must.True(t, s.now.Sub(s.last) >= 50*time.Millisecond)
					failed = s.now
				}
				if before == control.Failed && s.State() != control.Failed {
					must.True(t, s.now.Sub(failed) >= 5*time.Second)
					must.True(t, s.now.Sub(outage) >= 5*time.Second)
				}
				must.False(t, bad > 720*time.Millisecond && s.State() != control.Failed)
				must.False(t, good > 5600*time.Millisecond && s.State() != control.Alive)
			}
		}
	})
}
