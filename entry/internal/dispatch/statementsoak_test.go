package dispatch_test

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/ownership"
	"bramleystand.org/entry/internal/retry"
	"bramleystand.org/entry/internal/statement"
	"bramleystand.org/entry/internal/view"
)

var (
	statementSeeds = flag.Int("statementsoak.seeds", 3, "number of seeds of TestStatementSoak")
	statementFirst = flag.Uint64("statementsoak.first", 1, "first seed of TestStatementSoak")
)

const (
	statementProcesses = 4
	statementServers   = 5
	statementRanges    = 16
	// statementTime is how long the load lasts in simulated time.
	statementTime = 30 * time.Second
	// heldLearned is the time after a request was turned away from which on requests count, and allowedWhileHeld
	// how many may arrive until the end of the time that was stated.
	heldLearned      = 500 * time.Millisecond
	allowedWhileHeld = 2
	// leavingLearned is the time after a process has passed on a statement of leaving from which on no request
	// that a client sends may reach the server from it.
	leavingLearned = 2500 * time.Millisecond
)

var errPartitioned = errors.New("partitioned")

// statementProcess is one run of a process.
type statementProcess struct {
	number     int
	dispatcher *dispatch.Dispatcher
	view       *view.View
	ctx        context.Context
	stop       context.CancelFunc
	cut        bool
	// toldLeaving is when the process first passed on or got an answer of a server that leaves.
	toldLeaving map[registry.Instance]time.Time
	// turnedAway has the refusals with a time that the process got.
	turnedAway []*refusalWithTime
}

// refusalWithTime is a request that was turned away with a time, and the requests that arrived before its end.
type refusalWithTime struct {
	server    registry.Instance
	at, until time.Time
	arrived   int
}

// statementServer is a server that may leave or turn requests away.
type statementServer struct {
	registry.Server
	leaving    bool
	registered bool
	// refuses has the processes whose requests are turned away, until refusesUntil, and retryAfter the time
	// that is stated.
	refuses      map[int]bool
	refusesUntil time.Time
	retryAfter   time.Duration
	// heldByAllUntil is when the last process that is turned away while all are may send again.
	heldByAllUntil time.Time
}

// statementSoak is a deployment in one bubble: dispatchers whose connections are pipes to servers.
type statementSoak struct {
	t       *testing.T
	random  *rand.Rand
	sharded bool

	mu        sync.Mutex
	processes []*statementProcess
	servers   []*statementServer
	conns     map[net.Conn]*statementProcess
	storeDown bool
	owners    [statementRanges]registry.Instance
	revision  uint64
	sent      int
	served    int
	leavings  int
	refusals  int
	relayed   int
	late      []string
}

// soakDialer opens the connections of one process. It implements origin.Dialer.
type soakDialer struct {
	soak    *statementSoak
	process *statementProcess
}

func (d soakDialer) DialContext(_ context.Context, _, address string) (net.Conn, error) {
	s := d.soak
	s.mu.Lock()
	defer s.mu.Unlock()
	port := netip.MustParseAddrPort(address).Port()
	if d.process.cut || d.process.ctx.Err() != nil {
		return nil, errPartitioned
	}
	here, there := net.Pipe()
	s.conns[here] = d.process
	go s.serve(s.servers[port], d.process, there)
	return here, nil
}

// serve answers the requests on a connection.
func (s *statementSoak) serve(server *statementServer, from *statementProcess, c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.mu.Lock()
		answer, took, received := s.answer(server, from, request)
		s.mu.Unlock()
		time.Sleep(took)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		s.mu.Lock()
		received(time.Now())
		s.mu.Unlock()
	}
}

// answer records the arrival of a request and returns the answer with the time that it takes, and a function
// that records that the process has received it. The lock is held, also by the caller of the function.
func (s *statementSoak) answer(server *statementServer, from *statementProcess, request *http.Request) (answer string, took time.Duration, received func(time.Time)) {
	now := time.Now()
	if request.Header.Get("Server") != server.ID {
		return "HTTP/1.1 421 Misdirected Request\r\nId: " + request.Header.Get("Id") + "\r\nContent-Length: 0\r\n\r\n", 0, func(time.Time) {}
	}
	for _, refused := range from.turnedAway {
		if refused.server == server.Instance && now.Sub(refused.at) > heldLearned && now.Before(refused.until) {
			refused.arrived++
		}
	}
	nanoseconds, _ := strconv.ParseInt(request.Header.Get("Sent"), 10, 64)
	if told, ok := from.toldLeaving[server.Instance]; ok && time.Unix(0, nanoseconds).Sub(told) > leavingLearned {
		s.late = append(s.late, fmt.Sprintf("process %d, server %s, %s after the statement", from.number, server.ID, now.Sub(told)))
	}
	head, instance, leaving := "Id: "+request.Header.Get("Id")+"\r\n", server.Instance, server.leaving
	if leaving {
		head += "Leaving: 1\r\n"
	}
	if server.refuses[from.number] && now.Before(server.refusesUntil) {
		s.refusals++
		retryAfter := server.retryAfter
		return fmt.Sprintf("HTTP/1.1 503 Full\r\n%sNot-Run: 1\r\nHeld: %s\r\nContent-Length: 0\r\n\r\n", head, retryAfter), 0, func(at time.Time) {
			from.turnedAway = append(from.turnedAway, &refusalWithTime{server: instance, at: at, until: at.Add(retryAfter)})
			if leaving {
				tell(from, instance)
			}
		}
	}
	took = time.Duration(5+s.random.IntN(60)) * time.Millisecond
	return "HTTP/1.1 200 OK\r\n" + head + "Proof: s\r\nContent-Length: 6\r\n\r\nserved", took, func(time.Time) {
		if leaving {
			tell(from, instance)
		}
	}
}

// tell records that a process knows that a server leaves.
func tell(p *statementProcess, inst registry.Instance) {
	if _, ok := p.toldLeaving[inst]; !ok {
		p.toldLeaving[inst] = time.Now()
	}
}

// soakLimiter has a slot after a short time.
type soakLimiter struct {
	unlimited
	soak *statementSoak
}

func (l soakLimiter) Acquire(ctx context.Context, r dispatch.SlotRequest) (dispatch.Slot, error) {
	l.soak.mu.Lock()
	wait := time.Duration(max(0, l.soak.random.IntN(400)-200)) * time.Millisecond
	l.soak.mu.Unlock()
	select {
	case <-time.After(wait):
		return l.unlimited.Acquire(ctx, r)
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// soakNetwork is the reachability and the relay of one process.
type soakNetwork struct {
	noTracking
	soak    *statementSoak
	process *statementProcess
}

func (n soakNetwork) Unreached(time.Time, registry.Server) bool {
	n.soak.mu.Lock()
	defer n.soak.mu.Unlock()
	return n.process.cut
}

func (n soakNetwork) CutOffFrom(string) bool { return n.Unreached(time.Now(), registry.Server{}) }

func (n soakNetwork) Available(time.Time, registry.Server) bool { return n.peer() != nil }

// peer returns another process that is neither stopped nor cut off.
func (n soakNetwork) peer() *statementProcess {
	s := n.soak
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.random.Perm(statementProcesses) {
		if p := s.processes[i]; p != n.process && !p.cut && p.ctx.Err() == nil {
			return p
		}
	}
	return nil
}

func (n soakNetwork) Do(ctx context.Context, c *dispatch.Call, s registry.Server, attempts int) *dispatch.Result {
	p := n.peer()
	if p == nil || p.dispatcher.CheckReach(time.Now(), s.Service, s.Instance) != "" {
		return nil
	}
	route := *c.Route
	route.Attempts = attempts
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	n.soak.mu.Lock()
	n.soak.relayed++
	n.soak.mu.Unlock()
	return p.dispatcher.DoRelayed(bounded, &dispatch.Call{
		ID: c.ID, Method: c.Method, Target: c.Target, Host: c.Host, Header: c.Header, Route: &route,
		Service: c.Service, Arrived: c.Arrived, Deadline: c.Deadline, HasKey: c.HasKey, Key: c.Key,
	})
}

// start starts a process without any state but what the store and the coordinator have. The lock is held.
func (s *statementSoak) start(number int) *statementProcess {
	p := &statementProcess{number: number, view: view.New(), toldLeaving: make(map[registry.Instance]time.Time)}
	p.ctx, p.stop = context.WithCancel(context.Background())
	c, err := traffic.New(1, []traffic.Route{{Name: "r", Host: "h", Prefix: "/", Attempts: 2, Timeout: time.Second, WeightedServices: []traffic.WeightedService{{Service: "svc", Weight: 1}}}},
		map[string]traffic.Service{"svc": {Name: "svc", Sharded: s.sharded}}, traffic.Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: 1, IdleTimeout: 1})
	must.NoError(s.t, err)
	p.view.SetConfiguration(c)
	p.view.SetServers(time.Now(), s.list())
	p.view.SetTable(s.table())
	network := soakNetwork{soak: s, process: p}
	table := statement.NewTable(p.view, &log.Logger{Handler: discard.New()})
	p.dispatcher = dispatch.New(p.view, soakLimiter{soak: s}, retry.New(retry.Limit{RetriesPerRequest: 1, Burst: 100, Initial: 100}), soakDialer{s, p}, testHeaderFields{}, "x", noTracking{}, noTracking{}, network, network, table)
	return p
}

// list returns the registered servers. The lock is held.
func (s *statementSoak) list() []registry.Server {
	var out []registry.Server
	for _, server := range s.servers {
		if server.registered {
			out = append(out, server.Server)
		}
	}
	return out
}

// table returns the ownership table. The lock is held.
func (s *statementSoak) table() *ownership.Table {
	t := &ownership.Table{Service: "svc", Revision: s.revision, Term: 1, Generation: s.revision}
	const size = keyspace.KeyCount / statementRanges
	for i, owner := range s.owners {
		t.Assignments = append(t.Assignments, ownership.Assignment{
			Range:   keyspace.Range{First: keyspace.Key(i * size), Last: keyspace.Key((i+1)*size - 1)},
			Holders: []ownership.Server{{Instance: owner, Address: "127.0.0.1:1"}},
		})
	}
	return t
}

// publish passes the list of servers and the table to all processes. While the store is down, only the table
// changes, and moves no keys. The lock is held.
func (s *statementSoak) publish() {
	if s.storeDown {
		return
	}
	s.moveKeys()
	for _, p := range s.processes {
		p.view.SetServers(time.Now(), s.list())
		p.view.SetTable(s.table())
	}
}

// moveKeys gives the keys of servers that are gone, known to leave or take no requests to others. The lock is held.
func (s *statementSoak) moveKeys() {
	usable := make(map[registry.Instance]bool)
	var instances []registry.Instance
	for _, server := range s.servers {
		known := false
		for _, p := range s.processes {
			_, told := p.toldLeaving[server.Instance]
			known = known || told
		}
		if server.registered && !server.Draining && !known && !time.Now().Before(server.heldByAllUntil) {
			usable[server.Instance] = true
			instances = append(instances, server.Instance)
		}
	}
	for i, owner := range s.owners {
		if !usable[owner] && len(instances) > 0 {
			s.owners[i] = instances[s.random.IntN(len(instances))]
		}
	}
	s.revision++
}

// disturb stops, cuts off or restarts a process, or makes a server leave, start again or turn requests away. The
// lock is held.
func (s *statementSoak) disturb() {
	number, server := s.random.IntN(statementProcesses), s.servers[s.random.IntN(statementServers)]
	p := s.processes[number]
	switch s.random.IntN(6) {
	case 0:
		p.stop()
		s.closeConns(p)
		s.processes[number] = s.start(number)
	case 1:
		p.cut = true
		s.closeConns(p)
		time.AfterFunc(time.Duration(500+s.random.IntN(5000))*time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			p.cut = false
		})
	case 2:
		s.storeDown = !s.storeDown
	case 3:
		s.leave(server)
	default:
		server.refuses = map[int]bool{number: true}
		if s.random.IntN(3) == 0 {
			server.refuses = map[int]bool{0: true, 1: true, 2: true, 3: true}
		}
		all := len(server.refuses) == statementProcesses
		server.refusesUntil = time.Now().Add(time.Duration(s.random.IntN(4000)) * time.Millisecond)
		server.retryAfter = []time.Duration{300 * time.Millisecond, time.Second, 2500 * time.Millisecond, 4 * time.Second, time.Hour}[s.random.IntN(5)]
		if all {
			server.heldByAllUntil = server.refusesUntil.Add(server.retryAfter)
		}
	}
}

// leave makes a server state that it leaves. Its entry may say so, and is removed later or stays; another
// instance has its address after that. The lock is held.
func (s *statementSoak) leave(server *statementServer) {
	if server.leaving {
		return
	}
	s.leavings++
	server.leaving = true
	if s.random.IntN(2) == 0 {
		server.Draining = true
	}
	ends := time.Duration(5000+s.random.IntN(8000)) * time.Millisecond
	if s.random.IntN(2) == 0 {
		time.AfterFunc(ends/2, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			server.registered = false
		})
	}
	time.AfterFunc(ends, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		server.Incarnation++
		server.leaving, server.Draining, server.registered, server.refuses, server.heldByAllUntil = false, false, true, nil, time.Time{}
	})
}

// closeConns closes the connections of a process. The lock is held.
func (s *statementSoak) closeConns(p *statementProcess) {
	for c, of := range s.conns {
		if of == p {
			_ = c.Close()
			delete(s.conns, c)
		}
	}
}

// send makes one call of a client to a process.
func (s *statementSoak) send(p *statementProcess, number int) {
	now := time.Now()
	route := *p.view.Configuration().Match("h", "/x")
	route.Kind, route.Objective = []traffic.Kind{traffic.Idempotent, traffic.NonIdempotent}[number%2], 500*time.Millisecond
	ctx, cancel := context.WithDeadline(p.ctx, now.Add(2*time.Second))
	defer cancel()
	id := fmt.Sprint(number)
	r := p.dispatcher.Do(ctx, &dispatch.Call{
		ID: id, Method: "POST", Target: "/x", Host: "h", Header: http.Header{"Id": {id}, "Sent": {fmt.Sprint(now.UnixNano())}}, Route: &route,
		Service: "svc", Arrived: now, Deadline: now.Add(2 * time.Second), HasKey: true, Key: keyspace.Key(number * 9973 % keyspace.KeyCount),
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Status == http.StatusOK {
		s.served++
	}
	if r.Response == nil || r.Response.Header.Get("Leaving") == "" {
		return
	}
	for _, server := range s.servers {
		if server.ID == r.Server && server.leaving {
			tell(p, server.Instance)
		}
	}
}

// Guards against a process that sends to a server which it knows to leave, or to one that has turned it away for a
// time, while processes and servers stop, are cut off and start again, and the store is lost.
func TestStatementSoak(t *testing.T) {
	for seed := *statementFirst; seed < *statementFirst+uint64(*statementSeeds); seed++ {
		for _, sharded := range []bool{true, false} {
			t.Run(fmt.Sprintf("seed %d, sharded %t", seed, sharded), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runStatementSoak(t, seed, sharded) })
			})
		}
	}
}

func runStatementSoak(t *testing.T, seed uint64, sharded bool) {
	s := &statementSoak{t: t, random: rand.New(rand.NewPCG(seed, 0)), sharded: sharded, conns: make(map[net.Conn]*statementProcess)}
	for i := range statementServers {
		server := &statementServer{registered: true}
		server.Instance, server.Service, server.Slots, server.DataCentre = registry.Instance{ID: fmt.Sprint("s", i), Incarnation: 1}, "svc", 4, "x"
		server.Address = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i))
		s.servers = append(s.servers, server)
	}
	s.moveKeys()
	for i := range statementProcesses {
		s.processes = append(s.processes, s.start(i))
	}
	s.mu.Lock()
	s.leave(s.servers[0])
	s.mu.Unlock()
	s.run()
	for _, p := range s.processes {
		p.stop()
		s.closeConns(p)
	}
	synctest.Wait()
	t.Logf("%d of %d requests served, %d relayed, %d servers left, %d requests turned away", s.served, s.sent, s.relayed, s.leavings, s.refusals)
	must.SliceEmpty(t, s.late, must.Sprint(s.late))
	must.Positive(t, s.leavings)
	must.Greater(t, s.sent/2, s.served)
	most := 0
	for _, p := range s.processes {
		for _, refused := range p.turnedAway {
			most = max(most, refused.arrived)
		}
	}
	must.LessEq(t, allowedWhileHeld, most)
}

// run sends requests and disturbs the deployment until the end.
func (s *statementSoak) run() {
	end, nextFault, nextPublish := time.Now().Add(statementTime), time.Now().Add(2*time.Second), time.Now()
	var group sync.WaitGroup
	for number := 0; time.Now().Before(end); number++ {
		s.mu.Lock()
		p := s.processes[s.random.IntN(statementProcesses)]
		pause := time.Duration(s.random.ExpFloat64() * float64(10*time.Millisecond))
		if now := time.Now(); now.After(nextPublish) {
			nextPublish = now.Add(time.Duration(s.random.IntN(600)) * time.Millisecond)
			s.publish()
		}
		s.sent++
		if now := time.Now(); now.After(nextFault) {
			nextFault = now.Add(time.Duration(s.random.IntN(2000)) * time.Millisecond)
			s.disturb()
		}
		s.mu.Unlock()
		group.Go(func() { s.send(p, number) })
		time.Sleep(pause)
	}
	group.Wait()
}
