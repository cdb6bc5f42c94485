package slots

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/coldstart"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/requestlimit"
	"bramleystand.org/entry/internal/rpc"
	"bramleystand.org/entry/internal/view"
)

var (
	soakSeeds = flag.Int("limitsoak.seeds", 4, "number of seeds of TestLimitSoak")
	soakFirst = flag.Uint64("limitsoak.first", 1, "first seed of TestLimitSoak")
)

const (
	// soakProcesses is the number of processes, in soakCentres data centres.
	soakProcesses = 6
	soakCentres   = 2
	// soakTime is how long the load lasts in simulated time.
	soakTime = 60 * time.Second
	// soakStable is how long a process must have run undisturbed, and a limit must have been named, before
	// the requests of the process count. soakLearned is when they count after the process has passed on a
	// response with the limit, and soakWindow the length of the windows.
	soakStable  = 3 * time.Second
	soakLearned = 500 * time.Millisecond
	soakWindow  = 4 * time.Second
	// soakMembersDelay is how long the other processes take to notice a start or an end.
	soakMembersDelay = 2 * time.Second
)

var errCut = errors.New("the link is cut")

// soakProcess is a process that may be stopped and started again.
type soakProcess struct {
	self    election.Member
	limiter *Limiter
	server  *drpcserver.Server
	ctx     context.Context
	stop    context.CancelFunc
	// disturbedAt is when the process was last started or its links were last cut, and toldAt when it
	// first passed on a response with a limit since its start.
	disturbedAt, toldAt time.Time
}

// arrival is a request at the limited server.
type arrival struct {
	at      time.Time
	process *soakProcess
	// counts is false if the process was disturbed or had not been told.
	counts bool
}

// soak is a deployment in one bubble: processes whose links are pipes, and a server that names a limit.
type soak struct {
	t      *testing.T
	random *rand.Rand
	server registry.Server

	mu        sync.Mutex
	processes []*soakProcess
	// members is what all processes believe; it lags behind.
	members []election.Member
	// cut has the links that can't be opened.
	cut      map[[2]string]bool
	conns    map[[2]string][]net.Conn
	limit    float64
	named    time.Time
	arrivals []arrival
}

func (s *soak) Members() []election.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}
func (s *soak) MembersConfirmed() bool { return true }

// linkKey returns the key of the link between two processes.
func linkKey(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// soakPeers opens the links of one process.
type soakPeers struct {
	soak *soak
	from string
}

// Dial implements Peers.
func (p soakPeers) Dial(_ context.Context, to netip.AddrPort) (drpcpool.Conn, error) {
	s := p.soak
	s.mu.Lock()
	defer s.mu.Unlock()
	target := s.processes[to.Port()]
	key := linkKey(p.from, target.self.Name)
	if s.cut[key] || target.ctx.Err() != nil {
		return nil, errCut
	}
	here, there := net.Pipe()
	s.conns[key] = append(s.conns[key], here)
	go func() { _ = target.server.ServeOne(target.ctx, there) }()
	return &rpc.Conn{Conn: drpcconn.NewWithOptions(here, drpcconn.Options{Manager: rpc.Manager})}, nil
}

// start starts the process with the given number without any state.
func (s *soak) start(number int) *soakProcess {
	name := fmt.Sprint("p", number)
	p := &soakProcess{disturbedAt: time.Now(), self: election.Member{
		Name: name, DataCentre: fmt.Sprint("x", number%soakCentres), Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(number)),
	}}
	p.ctx, p.stop = context.WithCancel(context.Background())
	limits := requestlimit.NewTable(logger)
	allocator := newTestAllocator(limits)
	p.server = drpcserver.NewWithOptions(allocator, drpcserver.Options{Manager: rpc.Manager})
	p.limiter = New(p.ctx, p.self, allocator, soakPeers{s, name}, s, limits, coldstart.New(limits, view.New()), view.New(), logger)
	go allocator.Run(p.ctx)
	go p.limiter.Run(p.ctx)
	return p
}

// send sends one request to the limited server.
func (s *soak) send(p *soakProcess) {
	now := time.Now()
	slot, err := p.limiter.Acquire(p.ctx, dispatch.SlotRequest{
		Server: s.server, Arrived: now, Objective: now.Add(500 * time.Millisecond), Deadline: now.Add(2 * time.Second),
	})
	if err != nil || p.ctx.Err() != nil {
		return
	}
	now = time.Now()
	s.mu.Lock()
	told := !p.toldAt.IsZero() && now.Sub(p.toldAt) >= soakLearned
	s.arrivals = append(s.arrivals, arrival{now, p, told && now.Sub(p.disturbedAt) >= soakStable})
	s.mu.Unlock()
	time.Sleep(50*time.Millisecond + time.Duration(now.UnixNano()%100)*time.Millisecond)
	s.mu.Lock()
	limit := s.limit
	if p.toldAt.IsZero() {
		p.toldAt = time.Now()
	}
	s.mu.Unlock()
	slot.Release(dispatch.Outcome{ServiceTime: time.Since(now), Limit: requestlimit.Reading{Named: true, PerSecond: limit}})
}

// disturb stops or starts a process, or cuts a link or heals it.
func (s *soak) disturb() {
	number := s.random.IntN(soakProcesses)
	other := (number + 1 + s.random.IntN(soakProcesses-1)) % soakProcesses
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[number]
	now := time.Now()
	switch s.random.IntN(3) {
	case 0:
		p.stop()
		// The bubble has only one clock, so the process is back after a random time.
		time.AfterFunc(time.Duration(200+s.random.IntN(3000))*time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.processes[number] == p {
				s.processes[number] = s.start(number)
			}
		})
		time.AfterFunc(soakMembersDelay, s.updateMembers)
		time.AfterFunc(2*soakMembersDelay+time.Second, s.updateMembers)
	default:
		key := linkKey(p.self.Name, s.processes[other].self.Name)
		s.cut[key] = true
		for _, c := range s.conns[key] {
			_ = c.Close()
		}
		s.conns[key] = nil
		p.disturbedAt, s.processes[other].disturbedAt = now, now
		time.AfterFunc(time.Duration(500+s.random.IntN(3000))*time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.cut, key)
			healed := time.Now()
			s.processes[number].disturbedAt, s.processes[other].disturbedAt = healed, healed
		})
	}
}

// updateMembers makes the processes notice which of them run.
func (s *soak) updateMembers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var members []election.Member
	for _, p := range s.processes {
		if p.ctx.Err() == nil {
			members = append(members, p.self)
		}
	}
	s.members = members
}

// mostInWindow returns the largest number of the given requests in a window from when the limit must be
// observed.
func (s *soak) mostInWindow(selected func(arrival) bool) int {
	var times []time.Time
	most, first := 0, 0
	for _, a := range s.arrivals {
		if !selected(a) {
			continue
		}
		times = append(times, a.at)
		for a.at.Sub(times[first]) >= soakWindow {
			first++
		}
		if a.at.Sub(s.named) >= soakStable {
			most = max(most, len(times)-first)
		}
	}
	return most
}

// Guards against a limited server that gets too many requests from processes that are not disturbed while
// others stop, start again or lose their links.
func TestLimitSoak(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runLimitSoak(t, seed) })
		})
	}
}

func runLimitSoak(t *testing.T, seed uint64) {
	s := &soak{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), cut: make(map[[2]string]bool), conns: make(map[[2]string][]net.Conn), named: time.Now(),
		server: registry.Server{Instance: limitedServer, Slots: 6, DataCentre: "x0"},
	}
	s.limit = []float64{0, 0.5, 3, 12.25}[s.random.IntN(4)]
	for number := range soakProcesses {
		s.processes = append(s.processes, s.start(number))
	}
	s.updateMembers()
	end := time.Now().Add(soakTime)
	nextFault := time.Now().Add(5 * time.Second)
	var group sync.WaitGroup
	for time.Now().Before(end) {
		time.Sleep(time.Duration(s.random.ExpFloat64() * float64(20*time.Millisecond)))
		s.mu.Lock()
		p := s.processes[s.random.IntN(soakProcesses)]
		s.mu.Unlock()
		group.Go(func() { s.send(p) })
		if time.Now().After(nextFault) {
			nextFault = time.Now().Add(time.Duration(s.random.IntN(8000)) * time.Millisecond)
			s.disturb()
		}
	}
	group.Wait()
	time.Sleep(10 * time.Second)
	s.mu.Lock()
	for _, p := range s.processes {
		p.stop()
	}
	for _, conns := range s.conns {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	s.mu.Unlock()
	synctest.Wait()
	allowed := int(1.5*s.limit*soakWindow.Seconds()) + 5
	counted := s.mostInWindow(func(a arrival) bool { return a.counts })
	all := s.mostInWindow(func(a arrival) bool { return a.at.Sub(s.named) >= soakLearned })
	t.Logf("limit %v: %d of %d allowed in the worst window, %d with those of disturbed processes; %d requests", s.limit, counted, allowed, all, len(s.arrivals))
	must.LessEq(t, allowed, counted)
}
