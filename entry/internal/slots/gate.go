package slots

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/election"
)

const (
	// shunTime is how long a keeper that was lost is passed over.
	shunTime = 2 * time.Second
	// hintLifetime is how long a keeper's word on the wait for a server is used.
	hintLifetime = 300 * time.Millisecond
)

// Members tells which processes are alive.
type Members interface {
	Members() []election.Member
}

// Gate implements dispatch.Gate with the keepers of all processes. It is safe for concurrent use.
type Gate struct {
	ctx     context.Context
	self    election.Member
	keeper  *Keeper
	local   *client
	peers   Peers
	members Members

	mu      sync.Mutex
	links   map[string]*opening
	shunned map[string]time.Time
	// keepers are the processes that keep slots, by data centre, for the members of the fleet.
	keepers map[string][]election.Member
	fleet   []election.Member
	hints   map[registry.Life]hint
	waiting map[uint64]chan reply
	numbers uint64
	// alone has the slots that this process uses of servers whose keeper is lost.
	alone *Keeper
}

// opening is a link that is being opened or open.
type opening struct {
	ready chan struct{}
	link  *link
}

// hint is a keeper's word on the wait for a server.
type hint struct {
	wait time.Duration
	at   time.Time
}

// New returns a gate whose links end with the context.
func New(ctx context.Context, self election.Member, k *Keeper, p Peers, m Members) *Gate {
	g := &Gate{
		ctx: ctx, self: self, keeper: k, peers: p, members: m, links: make(map[string]*opening),
		shunned: make(map[string]time.Time), hints: make(map[registry.Life]hint),
		waiting: make(map[uint64]chan reply), alone: NewKeeper(),
	}
	g.local = &client{reply: g.takeLocal}
	return g
}

// Run keeps the slots that are used without a keeper, until the context ends.
func (g *Gate) Run(ctx context.Context) { g.alone.Run(ctx) }

// ExpectedWait implements dispatch.Gate.
func (g *Gate) ExpectedWait(a dispatch.SlotRequest) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.hints[a.Server.Life]
	if time.Since(h.at) > hintLifetime {
		return 0
	}
	return h.wait
}

// Acquire implements dispatch.Gate.
func (g *Gate) Acquire(ctx context.Context, a dispatch.SlotRequest) (dispatch.Slot, error) {
	now := time.Now()
	m := message{
		life: a.Server.Life, slots: a.Server.Slots, rank: a.Rank,
		waited: now.Sub(a.Arrived), objective: a.Objective.Sub(now), deadline: a.Deadline.Sub(now),
	}
	name, address := g.keeperOf(now, a.Server)
	switch {
	case name == g.self.Name:
		return g.enterLocal(ctx, g.keeper, m)
	case name != "":
		s, err := g.enterRemote(ctx, name, address, m)
		if !errors.Is(err, errLost) {
			return s, err
		}
	}
	m.slots = max(1, m.slots/aloneShare)
	return g.enterLocal(ctx, g.alone, m)
}

// aloneShare is the part of a server's slots, one in so many, that each process uses while there is
// no keeper. Two or three processes of the ten of a deployment send to one server at a time.
const aloneShare = 2

// keeperOf returns the process that keeps the slots of a server: the one of the keepers of the
// server's data centre that rendezvous hashing picks.
func (g *Gate) keeperOf(now time.Time, s registry.Server) (string, election.Member) {
	members := g.members.Members()
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, until := range g.shunned {
		if !now.Before(until) {
			delete(g.shunned, name)
			g.keepers = nil
		}
	}
	if g.keepers == nil || !slices.Equal(members, g.fleet) {
		g.fleet, g.keepers = members, keepers(members, g.shunned)
	}
	candidates, ok := g.keepers[s.DataCentre]
	if !ok {
		candidates = g.keepers[anywhere]
	}
	var best election.Member
	var most uint64
	for _, m := range candidates {
		if score := xxhash.Sum64String(m.Name + "\x00" + s.ID); best.Name == "" || score > most {
			best, most = m, score
		}
	}
	return best.Name, best
}

// enterRemote asks the keeper in another process; errLost means that the keeper is lost.
func (g *Gate) enterRemote(ctx context.Context, name string, to election.Member, m message) (dispatch.Slot, error) {
	l := g.link(ctx, name, to)
	if l == nil {
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		return nil, errLost
	}
	number, replies, err := l.ask(m)
	if err != nil {
		return nil, errLost
	}
	m.number = number
	select {
	case r, open := <-replies:
		if !open {
			return nil, errLost
		}
		return g.result(r, m, l.leave)
	case <-ctx.Done():
		l.leave(m)
		return nil, context.Cause(ctx)
	}
}

// enterLocal asks a keeper of this process.
func (g *Gate) enterLocal(ctx context.Context, k *Keeper, m message) (dispatch.Slot, error) {
	c := make(chan reply, 1)
	g.mu.Lock()
	g.numbers++
	m.number = g.numbers
	g.waiting[m.number] = c
	g.mu.Unlock()
	m.action = ask
	k.take(time.Now(), g.local, m)
	leaveLocal := func(m message) {
		g.mu.Lock()
		delete(g.waiting, m.number)
		g.mu.Unlock()
		m.action = leave
		k.take(time.Now(), g.local, m)
	}
	select {
	case r := <-c:
		return g.result(r, m, leaveLocal)
	case <-ctx.Done():
		leaveLocal(m)
		return nil, context.Cause(ctx)
	}
}

// takeLocal passes a reply of a keeper of this process on.
func (g *Gate) takeLocal(r reply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c, ok := g.waiting[r.number]; ok {
		delete(g.waiting, r.number)
		c <- r
	}
}

// result turns a reply into a slot or a refusal.
func (g *Gate) result(r reply, m message, leave func(message)) (dispatch.Slot, error) {
	now := time.Now()
	g.mu.Lock()
	if len(g.hints) > mostHints {
		clear(g.hints)
	}
	g.hints[m.life] = hint{wait: r.wait, at: now}
	g.mu.Unlock()
	if !r.started {
		return nil, &dispatch.RefusalError{RetryAt: now.Add(r.retry)}
	}
	return &slot{message: m, leave: leave}, nil
}

// mostHints bounds the servers whose wait is remembered.
const mostHints = 4096

// link returns the open link to a keeper, or nil if it can't be opened.
func (g *Gate) link(ctx context.Context, name string, to election.Member) *link {
	g.mu.Lock()
	o := g.links[name]
	if o == nil {
		o = &opening{ready: make(chan struct{})}
		g.links[name] = o
		go g.open(name, to, o)
	}
	g.mu.Unlock()
	select {
	case <-o.ready:
		return o.link
	case <-ctx.Done():
		return nil
	}
}

// open opens a link; a keeper that can't be reached is passed over for some time.
func (g *Gate) open(name string, to election.Member, o *opening) {
	l, err := connect(g.ctx, g.peers, to.Address, func() { g.close(name, o, true) })
	if err != nil {
		g.close(name, o, false)
	}
	o.link = l
	close(o.ready)
}

// close forgets a link.
func (g *Gate) close(name string, o *opening, opened bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.links[name] == o {
		delete(g.links, name)
	}
	if !opened || o.link != nil && o.link.wasUsed() {
		g.shunned[name] = time.Now().Add(shunTime)
		g.keepers = nil
	}
}

// slot is the right to send one request.
type slot struct {
	message message
	leave   func(message)
}

// Release implements dispatch.Slot.
func (s *slot) Release(service time.Duration) {
	s.message.service = service
	s.leave(s.message)
}
