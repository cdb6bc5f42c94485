// Package gatewayprocess builds the entry process for the users' platform from its settings, runs
// it and shuts it down without failing requests.
//
// # Usage
//
//	p, err := gatewayprocess.New(s, settingsFile, time.Now(), metrics, logger)
//	if err != nil {
//		return fmt.Errorf("entry: %w", err)
//	}
//	err = p.Run(ctx)
package gatewayprocess

import (
	"context"
	"errors"
	"expvar"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/go-kratos/kratos/v2"
	"github.com/rotisserie/eris"

	"bramleystand.org/common/gatewaysettings"
	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/boundedlistener"
	"bramleystand.org/entry/internal/bounds"
	"bramleystand.org/entry/internal/cluster"
	"bramleystand.org/entry/internal/coldstart"
	"bramleystand.org/entry/internal/crashes"
	"bramleystand.org/entry/internal/dialer"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/fleetsize"
	"bramleystand.org/entry/internal/follow"
	"bramleystand.org/entry/internal/gateway"
	"bramleystand.org/entry/internal/grantpool"
	"bramleystand.org/entry/internal/httpserver"
	"bramleystand.org/entry/internal/orderrelay"
	"bramleystand.org/entry/internal/reachability"
	"bramleystand.org/entry/internal/relay"
	"bramleystand.org/entry/internal/replica"
	"bramleystand.org/entry/internal/report"
	"bramleystand.org/entry/internal/requestlimit"
	"bramleystand.org/entry/internal/retry"
	"bramleystand.org/entry/internal/serverprobe"
	"bramleystand.org/entry/internal/slots"
	"bramleystand.org/entry/internal/statement"
	"bramleystand.org/entry/internal/storemetrics"
	"bramleystand.org/entry/internal/view"
	"bramleystand.org/platform"
)

const (
	// minDrainTime is the minimum time for which a stopping process continues to accept requests: the
	// balancer checks readiness once a second and removes the process after two failed checks.
	minDrainTime = 2600 * time.Millisecond
	// maxDrainPercent is the percentage of the stop timeout for which a process that can't resign as
	// coordinator continues to run and requests are still sent to servers. The rest is left for their
	// responses.
	maxDrainPercent = 70
	// giveUpMargin is the time before the end of the stop timeout at which requests at servers are given
	// up, so that their clients get an answer. Servers may take until the last sixth of the timeout,
	// which is at least 166 ms long.
	giveUpMargin = 150 * time.Millisecond
	// closeMargin is the time before the end of the stop timeout at which the remaining connections are
	// closed, so that the process ends by itself.
	closeMargin = 60 * time.Millisecond
	// resignInterval is the time between two attempts to resign as coordinator.
	resignInterval = 100 * time.Millisecond
	// idleTimeout is how long a client's connection is kept open without a request before the limit of the
	// configuration is known.
	idleTimeout = 2 * time.Minute
	// headerTimeout limits the time until the head of a request has arrived, before the limit of the
	// configuration is known and at the ports for checks and operators.
	headerTimeout = 5 * time.Second
	// checkIdleTimeout and maxCheckHead are the limits at the ports for checks and operators.
	checkIdleTimeout = 30 * time.Second
	maxCheckHead     = 4 << 10
	// writeTimeout is how long a client may read nothing of a response.
	writeTimeout = 15 * time.Second
	// firstMessageTimeout is the time in which another process must send its first message.
	firstMessageTimeout = 2 * time.Second
	// maxHeaderBytes limits the head of a request before the limit of the configuration is known, and the
	// heads of responses to calls of the store and of backend servers.
	maxHeaderBytes = 64 << 10
	// evacuationGraceDivisor sets which part of the time for an evacuation passes before requests for keys
	// are no longer sent; the request for the evacuation may take the rest to arrive.
	evacuationGraceDivisor = 2
	// maxOrderHeaderBytes limits the head of a response to a grant or release.
	maxOrderHeaderBytes = 4 << 10
)

// Process is an entry process with its listeners and background loops.
type Process struct {
	settings      gatewaysettings.Settings
	settingsFile  string
	retryBudgets  *retry.Budgets
	retrySettings atomic.Pointer[gatewaysettings.RetryBudget]
	fleetSizeMu   sync.Mutex
	fleetSize     fleetsize.Size
	self          election.Member
	logger        log.Interface

	view        *view.View
	replica     *replica.Replica
	store       *storemetrics.Store
	node        *cluster.Node
	peerClient  *report.Client
	orderRelays *orderrelay.Client
	allocator   *slots.Allocator
	limiter     *slots.Limiter
	limits      *requestlimit.Table
	coldLimits  *coldstart.Limits
	crashes     *crashes.Tracker
	statements  *statement.Table
	// reachability tells which servers this process reaches.
	reachability *reachability.Monitor
	relayClient  *relay.Client
	relayServer  *relay.Server
	dispatcher   *dispatch.Dispatcher
	handler      *gateway.Handler
	peerServer   *report.Server
	// followers keep the copies of the store's objects up to date. The keys are the names of the
	// copies in the metrics.
	followers map[string]*follow.Follower

	bounds bounds.Bounds
	// The servers handle clients, the balancer's readiness checks and operators.
	clientServer, readyServer, adminServer *httpserver.Server
	peerListener                           *boundedlistener.Listener

	// The listeners accept clients, the balancer's readiness checks, other entry processes and
	// operators.
	clients, ready, peering, admin net.Listener

	// hangups receives SIGHUP from the start; the signal would otherwise terminate the process.
	hangups  chan os.Signal
	stopping atomic.Bool
	// serversEnd is when the servers of a stopping process close their remaining connections; nil before.
	serversEnd atomic.Pointer[time.Time]
	// lastReady is the last response to a readiness check of the balancer.
	lastReady   atomic.Bool
	loopContext context.Context
	cancelLoops context.CancelFunc
	loops       sync.WaitGroup
}

// New opens the listeners and builds the process; nothing runs yet. The settings file is read again
// when it changes.
func New(s gatewaysettings.Settings, settingsFile string, now time.Time, metrics *expvar.Map, logger log.Interface) (*Process, error) {
	p := &Process{settings: s, settingsFile: settingsFile, logger: logger, view: view.New(), followers: make(map[string]*follow.Follower)}
	p.hangups = make(chan os.Signal, 1)
	signal.Notify(p.hangups, syscall.SIGHUP)
	var err error
	if p.bounds, err = newBounds(s); err != nil {
		return nil, err
	}
	if err := p.openListeners(); err != nil {
		return nil, err
	}
	p.loopContext, p.cancelLoops = context.WithCancel(context.Background())
	p.self = election.Member{Name: s.Name, Incarnation: now.UnixNano(), DataCentre: s.DataCentre, Address: s.PeerAddress}
	d := dialer.NewKeepAlive(s.ClientAddress.Addr())
	p.replica = replica.New(p.view, logger)
	p.store = storemetrics.New(platform.NewStore(s.Store, newClient(d)), logger)
	p.peerClient = report.NewClient(d)
	p.orderRelays = orderrelay.NewClient(p.peerClient)
	prober := serverprobe.New(d, p.view)
	loadCollector := cluster.NewLoadCollector()
	p.crashes = crashes.NewTracker(logger)
	p.limits = requestlimit.NewTable(logger)
	p.coldLimits = coldstart.New(p.limits, p.view)
	p.statements = statement.NewTable(p.view, logger)
	p.reachability = reachability.New(func() []registry.Server { return p.view.Servers().Registered() }, prober, logger)
	grants := newGrantClient(&dialer.ResetOnClose{Dialer: d})
	p.node = cluster.New(p.self, s.Cores, p.store, grants, p.peerClient, p.view, p.replica, loadCollector, p.limits, p.coldLimits, p.statements, p.crashes, p.reachability, d, prober, p.orderRelays, logger)
	p.allocator = slots.NewAllocator(p.limits, p.coldLimits, p.view)
	p.limiter = slots.New(p.loopContext, p.self, p.allocator, p.peerClient, p.node, p.limits, p.coldLimits, p.view, logger)
	p.retrySettings.Store(&s.RetryBudget)
	p.retryBudgets = retry.New(retryLimit(s.RetryBudget, 0))
	p.relayClient = relay.NewClient(p.self, p.node, p.peerClient, logger)
	p.dispatcher = dispatch.New(p.view, p.limiter, p.retryBudgets, d, platform.HeaderFields{}, s.DataCentre, loadCollector, p.crashes, p.reachability, p.relayClient, p.statements)
	p.handler = gateway.New(p.view, p.dispatcher, platform.HeaderFields{}, loadCollector, gateway.NewCounters(metrics), p.bounds, logger)
	p.relayServer = relay.NewServer(p.dispatcher, p.allocator, p.bounds.Relayed())
	p.peerServer = report.NewServer(p.node, orderrelay.NewServer(p.self.Incarnation, prober, grants, p.relayServer), logger)
	for name, kind := range p.followedKinds() {
		f := follow.New(p.store, kind, p.replica.Sink(kind), p.node.WatchTimeout, p.logger)
		p.node.SetWatcher(kind, f)
		p.followers[name] = f
	}
	p.newServers()
	p.publishMetrics(metrics)
	return p, nil
}

// followedKinds returns the kinds of objects that the process keeps copies of, by the names of the copies in the
// metrics. Evacuations are followed only where the settings state a time for them.
func (p *Process) followedKinds() map[string]string {
	kinds := map[string]string{"configuration": platform.KindConfiguration, "servers": platform.KindServers}
	if p.settings.Evacuation > 0 {
		kinds["evacuations"] = platform.KindEvacuations
		p.replica.SetEvacuationGrace(p.settings.Evacuation / evacuationGraceDivisor)
	}
	return kinds
}

// newClient returns an HTTP client for calls to the store and for grants to backend servers.
func newClient(d cluster.Dialer) *http.Client {
	return &http.Client{Transport: newTransport(d.DialContext)}
}

func newTransport(dial grantpool.DialFunc) *http.Transport {
	return &http.Transport{
		DialContext: dial, DisableCompression: true,
		MaxIdleConnsPerHost: 4, IdleConnTimeout: 3 * time.Second, MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// newOrderTransport returns a transport for orders, hundreds of which may be in progress.
func newOrderTransport(dial grantpool.DialFunc) *http.Transport {
	t := newTransport(dial)
	t.MaxResponseHeaderBytes = maxOrderHeaderBytes
	return t
}

// newGrantClient returns a client for orders to backend servers.
func newGrantClient(d cluster.Dialer) *platform.GrantClient {
	single := newOrderTransport(d.DialContext)
	single.DisableKeepAlives = true
	return platform.NewGrantClient(single, grantpool.New(d.DialContext, newOrderTransport))
}

func (p *Process) openListeners() error {
	config := net.ListenConfig{KeepAliveConfig: dialer.KeepAlive}
	for _, l := range []struct {
		address  netip.AddrPort
		listener *net.Listener
	}{{p.settings.ClientAddress, &p.clients}, {p.settings.ReadyAddress, &p.ready}, {p.settings.PeerAddress, &p.peering}, {p.settings.AdminAddress, &p.admin}} {
		opened, err := config.Listen(context.Background(), "tcp", l.address.String())
		if err != nil {
			return eris.Wrapf(err, "gatewayprocess: listen on %s", l.address)
		}
		*l.listener = opened
	}
	return nil
}

// runInBackground runs a function with a context that ends when the process stops.
func (p *Process) runInBackground(run func(ctx context.Context)) {
	p.loops.Go(func() { run(p.loopContext) })
}

// Run serves until SIGTERM, SIGINT or the end of the context, and then shuts down gracefully.
func (p *Process) Run(ctx context.Context) error {
	defer p.close()
	p.startLoops()
	app := kratos.New(
		kratos.Name("bramleystand-entry"),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(p.settings.Stop),
		kratos.Server(
			&transportServer{Server: p.clientServer, end: &p.serversEnd},
			&transportServer{Server: p.readyServer, end: &p.serversEnd},
			&transportServer{Server: p.adminServer, end: &p.serversEnd},
		),
		kratos.BeforeStop(p.drain),
	)
	p.logger.WithFields(log.Fields{"clients": p.clients.Addr().String(), "incarnation": p.self.Incarnation, "centre": p.self.DataCentre}).Info("started")
	stop := context.AfterFunc(ctx, func() { _ = app.Stop() })
	defer stop()
	err := app.Run()
	p.awaitRelayed()
	if err != nil && !errors.Is(err, context.Canceled) {
		return eris.Wrap(err, "gatewayprocess: serve")
	}
	p.logger.Info("stopped")
	return nil
}

// serveReady handles the readiness checks of the balancer.
func (p *Process) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath {
		http.NotFound(w, r)
		return
	}
	ready := p.isReady() && !p.clientServer.Full()
	if p.lastReady.Swap(ready) != ready {
		p.logger.WithField("ready", ready).Info("answer to the balancer has changed")
	}
	if !ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// isReady reports whether the process can serve requests: it is not stopping and has a configuration
// and, for each sharded service, the ownership table.
func (p *Process) isReady() bool {
	c := p.view.Configuration()
	if p.stopping.Load() || c == nil {
		return false
	}
	for name, s := range c.Services {
		if s.Sharded && p.view.Table(name) == nil {
			return false
		}
	}
	return true
}

func (p *Process) startLoops() {
	p.runInBackground(func(ctx context.Context) {
		if err := p.peerServer.Serve(ctx, p.peerListener); err != nil {
			p.logger.WithError(err).Error("serving peers failed")
		}
	})
	for _, f := range p.followers {
		p.runInBackground(f.Run)
	}
	p.runInBackground(p.node.Run)
	p.runInBackground(p.allocator.Run)
	p.runInBackground(p.limiter.Run)
	p.runInBackground(p.reachability.Run)
	p.runInBackground(p.loadFromPeers)
	p.runInBackground(p.watchSettings)
	p.runInBackground(p.watchMembers)
}

// loadFromPeers loads the objects of the store from peers until the store itself has been read. It asks all
// of them, because one may have been cut off and have an old copy.
func (p *Process) loadFromPeers(ctx context.Context) {
	interval := peerLoadInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval/2 + rand.N(interval)):
		}
		if p.replica.Listed(platform.KindConfiguration) && p.replica.Listed(platform.KindServers) && p.replica.Listed(replica.KindTables) {
			return
		}
		asked, loaded := 0, 0
		for _, seed := range p.settings.Seeds {
			if seed == p.settings.PeerAddress {
				continue
			}
			asked++
			objects, err := p.peerClient.Snapshot(ctx, seed)
			if err == nil {
				objects, err = cluster.UnpackSnapshot(objects)
			}
			if err != nil {
				p.logger.WithError(err).WithField("peer", seed.String()).Debug("snapshot not loaded")
				continue
			}
			p.replica.LoadSnapshot(time.Now(), objects)
			loaded++
		}
		if loaded > 0 && loaded == asked {
			interval = maxPeerLoadInterval
		}
	}
}

const (
	// peerLoadInterval is the mean time between two attempts to load objects from peers while the store has
	// not been read, and maxPeerLoadInterval that once all of
	// them have answered: hundreds of processes ask the same three.
	peerLoadInterval    = 500 * time.Millisecond
	maxPeerLoadInterval = 4 * time.Second
)

// drain delays the closing of the listeners until the balancer has removed the process and the process
// has resigned as coordinator, but at most for maxDrainPercent of the stop timeout.
func (p *Process) drain(ctx context.Context) error {
	begin := time.Now()
	p.logger.Info("stopping")
	p.stopping.Store(true)
	deadline, end := begin.Add(p.settings.Stop*maxDrainPercent/100), begin.Add(p.settings.Stop)
	giveUp, serversEnd := end.Add(-giveUpMargin), end.Add(-closeMargin)
	p.serversEnd.Store(&serversEnd)
	shutdown := dispatch.Shutdown{LastArrival: begin.Add(minDrainTime), LastStart: deadline, GiveUp: giveUp, End: end}
	p.clientServer.Drain()
	p.handler.Stop(shutdown)
	p.relayServer.Stop()
	p.dispatcher.Stop(shutdown)
	bounded, cancel := context.WithDeadline(ctx, giveUp)
	defer cancel()
	resigned := p.node.Resign(bounded)
	for now := begin; now.Before(deadline) && (!resigned || now.Sub(begin) < minDrainTime); now = time.Now() {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(resignInterval):
		}
		resigned = resigned || p.node.Resign(bounded)
	}
	p.logger.WithField("ms", time.Since(begin).Milliseconds()).WithField("resigned", resigned).Info("listeners close")
	p.runInBackground(p.logActiveRequests)
	return nil
}

// awaitRelayed waits until the calls that other processes have relayed to a stopping process have ended.
func (p *Process) awaitRelayed() {
	end := p.serversEnd.Load()
	if end == nil {
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), *end)
	defer cancel()
	p.relayServer.Wait(ctx)
}

// activeLogInterval is the time between two logs of the requests that a stopping process still works on.
const activeLogInterval = time.Second

// logActiveRequests logs the requests in progress at intervals until the process has stopped.
func (p *Process) logActiveRequests(ctx context.Context) {
	for {
		p.handler.LogActive(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-time.After(activeLogInterval):
		}
	}
}

// close stops all background loops and closes the connections to peers.
func (p *Process) close() {
	p.cancelLoops()
	p.loops.Wait()
	for _, c := range []io.Closer{p.relayClient, p.orderRelays, p.peerClient} {
		if err := c.Close(); err != nil {
			p.logger.WithError(err).Warn("closing the connections to peers failed")
		}
	}
}
