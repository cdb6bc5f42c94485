package gatewayprocess_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	partitionSeeds = flag.Int("partitionsoak.seeds", 2, "number of seeds of TestPartitionSoak")
	partitionFirst = flag.Uint64("partitionsoak.first", 1, "first seed of TestPartitionSoak")
)

const (
	// soakSteps is the number of disturbances of a soak and soakStep the time between two.
	soakSteps = 12
	soakStep  = 800 * time.Millisecond
	// soakRate is the number of requests a second.
	soakRate = 100
	// soakSettle is the time after the last disturbance until all keys must be served at all processes.
	soakSettle = 6 * time.Second
	// soakDeadline is the time that the clients wait.
	soakDeadline = 3 * time.Second
)

// soakRequest is a request of a soak with its response.
type soakRequest struct {
	id     string
	status int
	body   string
	final  bool
}

// partitionSoak disturbs a deployment at random.
type partitionSoak struct {
	*partitionTest
	random *rand.Rand

	mu       sync.Mutex
	requests []soakRequest
	// cutSince has for each process since when it has been partitioned from all servers without a change, and
	// calmSince since when it has not been partitioned; zero if the other one is set.
	cutSince, calmSince []time.Time
	// disturbed is when the store last failed or came back, and down is true while it fails.
	disturbed time.Time
	down      bool
	stopped   map[int]bool
	// long is the process that is partitioned all the time, and spared one that is never disturbed, because
	// nobody could serve if all were. left is the server that is draining, or -1.
	long, spared, left int
	// cut and calm count the first tries at processes that have been partitioned, or have not been, for
	// cutStable, while nothing else was disturbed.
	cut, calm firstTries
}

// step makes one random disturbance.
func (s *partitionSoak) step(t *testing.T) {
	n := s.random.IntN(len(s.processes))
	log := func(what string) {
		t.Logf("%s %s: %s", time.Now().Format("05.000"), s.processes[n].settings.Name, what)
	}
	switch k := s.random.IntN(20); {
	case n == s.long || n == s.spared:
		// It stays as it is.
	case k < 13:
		kind := s.randomKind()
		// A single server that accepts requests and never answers them is no partition: its requests hold
		// its slots until their deadline.
		whole := s.random.IntN(3) > 0 || kind == partitionUnanswered
		log(fmt.Sprint("partition ", kind, ", from all servers ", whole))
		s.partition(t, n, kind, whole)
	case k < 17:
		// One server at a time leaves, so that the others have room.
		if s.left >= 0 {
			s.putServer(s.left, "ready")
			s.left = -1
			return
		}
		s.left = s.random.IntN(len(s.servers))
		t.Logf("%s server %s leaves", time.Now().Format("05.000"), s.servers[s.left].id)
		s.putServer(s.left, "draining")
	case k < 18:
		down := s.random.IntN(2) == 0
		t.Logf("%s store down: %v", time.Now().Format("05.000"), down)
		s.store.setDown(down)
		s.note(func() { s.disturbed, s.down = time.Now(), down })
	default:
		// At most one process stops, so that peers are left.
		if len(s.stopped) == 0 {
			log("stops")
			s.note(func() { s.stopped[n] = true })
			s.processes[n].stop()
		}
	}
}

func (s *partitionSoak) randomKind() partitionKind {
	kinds := []partitionKind{connected, partitionReset, partitionSilent, partitionNew, partitionUnanswered}
	return kinds[s.random.IntN(len(kinds))]
}

// partition begins or ends a partition of a process, from all servers or from one.
func (s *partitionSoak) partition(t *testing.T, n int, kind partitionKind, whole bool) {
	if whole || kind == connected {
		s.partitionTest.cut(t, s.processes[n], kind)
	} else {
		s.relays[s.random.IntN(len(s.relays))].set(t, s.processes[n].settings.ClientAddress.Addr(), kind)
	}
	s.note(func() {
		s.cutSince[n], s.calmSince[n] = time.Time{}, time.Time{}
		switch {
		case kind == connected:
			s.calmSince[n] = time.Now()
		case whole:
			s.cutSince[n] = time.Now()
		}
	})
}

func (s *partitionSoak) putServer(i int, state string) {
	b := s.servers[i]
	s.store.put("servers", b.id, strings.Replace(b.registryEntry(state), b.address.String(), s.relays[i].address.String(), 1))
}

func (s *partitionSoak) note(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// send sends request i and records its response.
func (s *partitionSoak) send(seed uint64, i int) {
	n := i % len(s.processes)
	path, sent := "/get/x", time.Now()
	final := i/len(s.processes)%2 == 0
	if final {
		path = "/final/x"
	}
	var counted *firstTries
	s.note(func() {
		counted = s.category(n, sent)
	})
	id := fmt.Sprintf("soak-%d-%d", seed, i)
	status, body := s.processes[n].sendWithin(soakDeadline, path, id, i*9973%65536)
	s.note(func() {
		s.requests = append(s.requests, soakRequest{id: id, status: status, body: body, final: final})
		if counted != nil && !s.stopped[n] {
			counted.sent++
			if status == http.StatusOK {
				counted.served++
			}
			if status == http.StatusOK {
				body = ""
			}
			counted.statuses[fmt.Sprint(status, " ", strings.TrimSpace(body[:min(len(body), 12)]))]++
		}
	})
}

// category returns where a first try is counted, or nil. The lock is held.
func (s *partitionSoak) category(n int, sent time.Time) *firstTries {
	switch {
	case s.stopped[n] || s.down || sent.Sub(s.disturbed) < cutStable:
		return nil
	case !s.cutSince[n].IsZero() && sent.Sub(s.cutSince[n]) > cutStable:
		return &s.cut
	case !s.calmSince[n].IsZero() && sent.Sub(s.calmSince[n]) > cutStable:
		return &s.calm
	}
	return nil
}

// executions returns how often the servers have run a request.
func (s *partitionSoak) executions(id string) int {
	n := 0
	for _, b := range s.servers {
		b.mu.Lock()
		n += b.executions[id]
		b.mu.Unlock()
	}
	return n
}

// Guards, under partitions of all kinds that come and go while servers leave, the store fails and a process
// stops, against final requests that run twice, refusals of requests that have run, responses of other
// requests and partitioned processes without service.
func TestPartitionSoak(t *testing.T) {
	for n := range *partitionSeeds {
		seed := *partitionFirst + uint64(n)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			runPartitionSoak(t, seed)
		})
	}
}

func runPartitionSoak(t *testing.T, seed uint64) {
	s := &partitionSoak{partitionTest: newPartitionTest(t), random: rand.New(rand.NewPCG(seed, 0)), stopped: make(map[int]bool)}
	s.cut.statuses, s.calm.statuses = make(map[string]int), make(map[string]int)
	s.cutSince, s.calmSince = make([]time.Time, len(s.processes)), make([]time.Time, len(s.processes))
	for i := range s.processes {
		s.calmSince[i] = time.Now()
	}
	var group sync.WaitGroup
	sending := make(chan struct{})
	group.Go(func() {
		ticker := time.NewTicker(time.Second / soakRate)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-sending:
				return
			case <-ticker.C:
				group.Go(func() { s.send(seed, i) })
			}
		}
	})
	steps := time.NewTicker(soakStep)
	defer steps.Stop()
	s.long, s.left = s.random.IntN(len(s.processes)), -1
	s.spared = (s.long + 1 + s.random.IntN(len(s.processes)-1)) % len(s.processes)
	kind := s.randomKind()
	for kind == connected {
		kind = s.randomKind()
	}
	t.Logf("%s is partitioned all the time: %s; %s is spared", s.processes[s.long].settings.Name, kind, s.processes[s.spared].settings.Name)
	s.partition(t, s.long, kind, true)
	for range soakSteps {
		<-steps.C
		s.step(t)
	}
	for n := range s.processes {
		s.partition(t, n, connected, true)
	}
	for i := range s.servers {
		s.putServer(i, "ready")
	}
	s.store.setDown(false)
	for n, p := range s.processes {
		if !s.stopped[n] {
			eventually(t, soakSettle, p.settings.Name+" serves all keys", func() bool { return p.servesAllKeys(fmt.Sprint("settled-", time.Now().UnixNano())) })
		}
	}
	close(sending)
	group.Wait()
	s.check(t)
}

// check checks the responses of all requests.
func (s *partitionSoak) check(t *testing.T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	statuses := make(map[int]int)
	for _, r := range s.requests {
		statuses[r.status]++
		runs := s.executions(r.id)
		if r.final {
			must.LessEq(t, 1, runs, must.Sprint(r.id))
		}
		switch r.status {
		case http.StatusOK:
			must.Eq(t, "body of "+r.id, r.body)
			must.Positive(t, runs, must.Sprint(r.id))
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			must.Eq(t, 0, runs, must.Sprint("refused: ", r.id, " ", r.body))
		}
	}
	t.Logf("responses %v; served when partitioned: %d of %d %v, when not: %d of %d", statuses, s.cut.served, s.cut.sent, s.cut.statuses, s.calm.served, s.calm.sent)
	allowed := failedTries + (s.cut.sent+s.calm.sent)/failedShare
	if s.cut.sent-s.cut.served > allowed {
		must.GreaterEq(t, 2*s.calm.served*s.cut.sent, 3*s.cut.served*s.calm.sent, must.Sprint("served at the partitioned processes"))
	}
}
