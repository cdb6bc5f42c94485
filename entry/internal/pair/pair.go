// Package pair runs one entry process's part in the control of one pair of service
// and data centre: the controller state machine, the leases that this process
// holds, and the messages and platform calls that both of them request.
//
// One goroutine per pair drives both state machines; messages from peers and
// responses arrive on other goroutines. Each state machine has a mutex, and no
// goroutine holds both.
//
// # Usage
//
//	p := pair.New(id, self, planner, directory, peers, store, logger)
//	go p.Run(ctx)
//	response := p.HandleRenew(now, request)
package pair

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/controller"
	"bramleystand.org/entry/internal/lease"
)

// Directory provides the configuration, the members and the routing tables, and stores new tables.
type Directory interface {
	Service(name string) (configuration.Service, bool)
	Leaving(vm string) (configuration.Leaving, bool)
	Live(centre string) []control.Member
	Members(now time.Time) []control.Announcement
	Centres() []string
	Removed() map[string]bool
	Succession(p control.Pair) (control.Succession, bool)
	Table(p control.Pair) (control.Table, bool)
	PutTable(now time.Time, t control.Table) bool
	Subscribe() (changed <-chan struct{}, cancel func())
}

// Peers sends control messages to other entry processes.
type Peers interface {
	Renew(ctx context.Context, to netip.AddrPort, r control.RenewRequest) (control.RenewResponse, error)
	Support(ctx context.Context, to netip.AddrPort, r control.SupportRequest) (control.SupportResponse, error)
	Resign(ctx context.Context, to netip.AddrPort, r control.ResignRequest) error
}

// Store reads and writes the routing table and the succession record of a pair on the platform.
type Store interface {
	LoadTable(ctx context.Context, p control.Pair) (t *control.Table, version int64, ok bool)
	StoreTable(ctx context.Context, t *control.Table, expected int64) (version int64, result controller.WriteResult)
	LoadSuccession(ctx context.Context, p control.Pair) (s control.Succession, found, ok bool)
	StoreSuccession(ctx context.Context, s *control.Succession, expected int64) (version int64, result controller.WriteResult)
}

// Pair holds the controller and the leases of this process for one pair. It is safe for concurrent use.
type Pair struct {
	id        control.Pair
	self      control.Member
	directory Directory
	peers     Peers
	store     Store
	logger    log.Interface
	// wake makes Run drive the state machines at once.
	wake chan struct{}
	// reconfigure makes Run read the configuration again.
	reconfigure chan struct{}

	controllerMu sync.Mutex
	controller   *controller.Controller

	holderMu sync.Mutex
	// holder is nil in other data centres, whose backend servers this process never sends to.
	holder *lease.Holder
	// loggedControl and loggedTable are the state that was last written to the log; only Run uses them.
	loggedControl bool
	loggedTable   *control.Table
	// leasesChanged receives a value after each response to a renewal of the leases.
	leasesChanged chan struct{}
}

// New returns the pair for the process self. Run starts it.
func New(id control.Pair, self control.Member, planner controller.Planner, d Directory, peers Peers, store Store, logger log.Interface) *Pair {
	p := &Pair{
		id: id, self: self, directory: d, peers: peers, store: store, logger: logger.WithField("pair", id.String()),
		wake: make(chan struct{}, 1), reconfigure: make(chan struct{}, 1), leasesChanged: make(chan struct{}, 1),
		controller: controller.New(id, self, planner),
	}
	if id.DataCentre == self.DataCentre {
		p.holder = lease.New(id, self)
	}
	return p
}

// LeasesChanged returns a channel that receives a value after the leases of this process may have changed. Several
// changes in a row may give one value.
func (p *Pair) LeasesChanged() <-chan struct{} {
	return p.leasesChanged
}

// Reconfigure makes the pair read the configuration again. It must be called when the list of VMs has changed.
func (p *Pair) Reconfigure() {
	signal(p.reconfigure)
}

// Run drives the state machines until the context ends.
func (p *Pair) Run(ctx context.Context) {
	changed, cancel := p.directory.Subscribe()
	defer cancel()
	p.configure(time.Now())
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			p.configure(time.Now())
		case <-p.reconfigure:
			p.configure(time.Now())
		case <-p.wake:
		case <-timer.C:
		}
		now := time.Now()
		next := p.tickController(ctx, now)
		if nextRenewal := p.renewLeases(ctx, now); nextRenewal.Before(next) {
			next = nextRenewal
		}
		timer.Reset(time.Until(next))
	}
}

// configure passes the newest configuration, members, succession and table to the controller.
func (p *Pair) configure(now time.Time) {
	service, hasService := p.directory.Service(p.id.Service)
	leaving := make(map[string]bool)
	for _, u := range service.Upstreams {
		if _, ok := p.directory.Leaving(u.Name); ok {
			leaving[u.Name] = true
		}
	}
	live := p.liveMembers(now, leaving)
	succession, hasSuccession := p.directory.Succession(p.id)
	table, hasTable := p.directory.Table(p.id)
	p.controllerMu.Lock()
	defer p.controllerMu.Unlock()
	if hasSuccession {
		p.controller.AdoptSuccession(now, succession)
	}
	if hasTable {
		p.controller.AdoptTable(now, &table)
	}
	p.controller.SetVMs(now, live, p.directory.Removed())
	if hasService {
		p.controller.Configure(now, &service, leaving)
	}
}

// liveMembers returns the live entry VMs, those of the pair's data centre first. It adds the members that are about to
// stop and the live VMs that are marked as leaving to the set leaving.
func (p *Pair) liveMembers(now time.Time, leaving map[string]bool) []control.Member {
	liveMembers := append([]control.Member(nil), p.directory.Live(p.id.DataCentre)...)
	for _, c := range p.directory.Centres() {
		if c != p.id.DataCentre {
			liveMembers = append(liveMembers, p.directory.Live(c)...)
		}
	}
	for _, a := range p.directory.Members(now) {
		if a.Leaving {
			leaving[a.Member.Name] = true
		}
	}
	for _, m := range liveMembers {
		if _, ok := p.directory.Leaving(m.Name); ok {
			leaving[m.Name] = true
		}
	}
	return liveMembers
}

// tickController drives the controller and returns when it is due again.
func (p *Pair) tickController(ctx context.Context, now time.Time) time.Time {
	p.controllerMu.Lock()
	p.controller.Tick(now)
	next := p.controller.NextDue(now)
	table := p.controller.Table()
	controlling := p.controller.IsController()
	p.controllerMu.Unlock()
	if table != nil {
		p.directory.PutTable(now, *table)
	}
	p.logChanges(controlling, table)
	p.executeEffects(ctx)
	return next
}

// renewLeases sends the renewals of the leases that are due and returns when the next one is.
func (p *Pair) renewLeases(ctx context.Context, now time.Time) time.Time {
	if p.holder == nil {
		return now.Add(control.LeaseTTL)
	}
	succession := p.succession()
	p.holderMu.Lock()
	p.holder.Follow(succession)
	var requests []lease.Renewal
	if !now.Before(p.holder.NextDue()) {
		requests = p.holder.Renew(now)
	}
	next := p.holder.NextDue()
	p.holderMu.Unlock()
	for _, r := range requests {
		go p.sendRenewal(ctx, now, r)
	}
	return next
}

func (p *Pair) succession() control.Succession {
	p.controllerMu.Lock()
	defer p.controllerMu.Unlock()
	return p.controller.Succession()
}

func (p *Pair) sendRenewal(ctx context.Context, sent time.Time, r lease.Renewal) {
	var response control.RenewResponse
	if r.To.Same(p.self) {
		response = p.HandleRenew(time.Now(), r.Request)
	} else {
		var err error
		if response, err = p.peers.Renew(ctx, r.To.Address, r.Request); err != nil {
			p.logger.WithError(err).Debug("lease renewal failed")
			return
		}
	}
	p.holderMu.Lock()
	p.holder.ApplyResponse(time.Now(), sent, response)
	p.holderMu.Unlock()
	signal(p.leasesChanged)
}

// signal sends a value on a channel of capacity one unless it already holds one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// IsMember reports whether this process is a member of the newest known succession.
func (p *Pair) IsMember() bool {
	return slices.ContainsFunc(p.succession().Members, p.self.Same)
}

// HandleRenew answers the lease renewal of a leaseholder.
func (p *Pair) HandleRenew(now time.Time, r control.RenewRequest) control.RenewResponse {
	p.controllerMu.Lock()
	defer p.controllerMu.Unlock()
	response := p.controller.HandleRenew(now, r)
	signal(p.wake)
	return response
}

// HandleSupport answers the support request of a candidate or controller.
func (p *Pair) HandleSupport(now time.Time, r control.SupportRequest) control.SupportResponse {
	p.controllerMu.Lock()
	defer p.controllerMu.Unlock()
	response := p.controller.HandleSupport(now, r)
	signal(p.wake)
	return response
}

// HandleResign handles the notice that the controller of the pair gives up control.
func (p *Pair) HandleResign(now time.Time, r control.ResignRequest) {
	p.controllerMu.Lock()
	defer p.controllerMu.Unlock()
	p.controller.HandleResign(now, r)
	signal(p.wake)
}

// HandOverLeases asks the controller to give all leases of this process to others and wakes Run. Control is given up by
// Resign.
func (p *Pair) HandOverLeases(now time.Time) {
	if p.holder != nil {
		p.holderMu.Lock()
		p.holder.Resign(now)
		p.holderMu.Unlock()
	}
	signal(p.wake)
}

// Resign gives up control permanently.
func (p *Pair) Resign(ctx context.Context, now time.Time) {
	p.controllerMu.Lock()
	p.controller.Resign(now)
	p.controllerMu.Unlock()
	p.executeEffects(ctx)
}

// FenceFor implements upstream.Lease.
func (p *Pair) FenceFor(now time.Time, upstream string, s shard.Shard) (fence.Fence, bool) {
	p.holderMu.Lock()
	defer p.holderMu.Unlock()
	return p.holder.FenceFor(now, upstream, s)
}

// Deadline implements upstream.Lease.
func (p *Pair) Deadline() time.Time {
	p.holderMu.Lock()
	defer p.holderMu.Unlock()
	return p.holder.Deadline()
}

// Holder calls f with the locked lease.Holder, and wakes Run if a renewal has become due.
func (p *Pair) Holder(f func(h *lease.Holder)) {
	p.holderMu.Lock()
	defer p.holderMu.Unlock()
	f(p.holder)
	if !p.holder.NextDue().After(time.Now()) {
		signal(p.wake)
	}
}

// Dump returns the state of the controller.
func (p *Pair) Dump(now time.Time) controller.Dump {
	p.controllerMu.Lock()
	defer p.controllerMu.Unlock()
	return p.controller.Dump(now)
}
