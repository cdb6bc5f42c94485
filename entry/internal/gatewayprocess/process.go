// Package gatewayprocess builds the entry process that runs on the users' platform from its
// settings, runs it and stops it without failing requests.
//
// # Usage
//
//	p, err := gatewayprocess.New(s, file, time.Now(), metrics, logger)
//	if err != nil {
//		return fmt.Errorf("entry: %w", err)
//	}
//	err = p.Run(ctx)
package gatewayprocess

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rotisserie/eris"

	"bramleystand.org/common/gatewaysettings"
	"bramleystand.org/entry/internal/cluster"
	"bramleystand.org/entry/internal/crashes"
	"bramleystand.org/entry/internal/dialer"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/fleetsize"
	"bramleystand.org/entry/internal/follow"
	"bramleystand.org/entry/internal/gateway"
	"bramleystand.org/entry/internal/operator"
	"bramleystand.org/entry/internal/replica"
	"bramleystand.org/entry/internal/report"
	"bramleystand.org/entry/internal/retry"
	"bramleystand.org/entry/internal/slots"
	"bramleystand.org/entry/internal/storemeter"
	"bramleystand.org/entry/internal/view"
	"bramleystand.org/platform"
)

const (
	// noticeTime is how long a stopping process goes on taking requests: the balancer asks once
	// a second and takes it out after two answers.
	noticeTime = 2600 * time.Millisecond
	// longestNotice is the part of the stop time, in percent, for which a process that can't give
	// the coordinator's role back goes on; the rest is for the last requests.
	longestNotice = 70
	// resignInterval is the time between two tries to give the role back.
	resignInterval = 100 * time.Millisecond
	// idleTimeout is how long a client's connection is kept without a request. Clients may use
	// connections that have been idle for four fifths of the configured limit, so it is longer than any.
	idleTimeout = 2 * time.Minute
	// headerTimeout bounds the head of a request.
	headerTimeout = 5 * time.Second
	// largestHeader bounds the head of a request before the configuration's limit is known.
	largestHeader = 64 << 10
)

// Process is one entry process.
type Process struct {
	settings gatewaysettings.Settings
	file     string
	budgets  *retry.Budgets
	retries  atomic.Pointer[gatewaysettings.Retries]
	sizeMu   sync.Mutex
	size     fleetsize.Size
	self     election.Member
	logger   log.Interface

	view    *view.View
	replica *replica.Replica
	store   *storemeter.Store
	node    *cluster.Node
	peers   *report.Client
	keeper  *slots.Keeper
	gate    *slots.Gate
	handler *gateway.Handler
	server  *report.Server
	// followers keep the copies of the store's objects, by what they are.
	followers map[string]*follow.Follower

	clients, ready, peering, admin net.Listener

	// hangups gets SIGHUP from the start on; without a receiver it would end the process.
	hangups  chan os.Signal
	stopping atomic.Bool
	// answered is the last answer to the balancer.
	answered   atomic.Bool
	background context.Context
	cancel     context.CancelFunc
	loops      sync.WaitGroup
}

// New opens the listeners and builds the process; nothing runs yet. The file is where the
// settings came from.
func New(s gatewaysettings.Settings, file string, now time.Time, metrics *expvar.Map, logger log.Interface) (*Process, error) {
	p := &Process{settings: s, file: file, logger: logger, view: view.New(), followers: make(map[string]*follow.Follower)}
	p.hangups = make(chan os.Signal, 1)
	signal.Notify(p.hangups, syscall.SIGHUP)
	if err := p.listen(); err != nil {
		return nil, err
	}
	p.background, p.cancel = context.WithCancel(context.Background())
	p.self = election.Member{Name: s.Name, Incarnation: now.UnixNano(), DataCentre: s.DataCentre, Address: s.Peer}
	d := dialer.NewProbing(s.Client.Addr())
	p.replica = replica.New(p.view, logger)
	p.store = storemeter.New(platform.NewStore(s.Store, newClient(d)))
	p.peers = report.NewClient(d)
	demands := cluster.NewDemands()
	ledger := crashes.NewLedger()
	p.node = cluster.New(p.self, s.Cores, p.store, platform.NewGrants(newClient(&dialer.Abortive{Dialer: d})), p.peers, p.view, p.replica, demands, ledger, d, logger)
	p.keeper = slots.NewKeeper()
	p.gate = slots.New(p.background, p.self, p.keeper, p.peers, p.node)
	p.retries.Store(&s.Retries)
	p.budgets = retry.New(retryLimit(s.Retries, 0))
	dispatcher := dispatch.New(p.view, p.gate, p.budgets, d, platform.Fields{}, s.DataCentre, demands, ledger)
	p.handler = gateway.New(p.view, dispatcher, platform.Fields{}, demands, gateway.NewCounters(metrics), logger)
	p.server = report.NewServer(p.node, p.keeper)
	for name, kind := range map[string]string{"configuration": platform.KindConfiguration, "servers": platform.KindServers} {
		f := follow.New(p.store, kind, p.replica.Sink(kind), p.node.WatchTimeout, p.logger)
		p.node.Watch(kind, f)
		p.followers[name] = f
	}
	p.publish(metrics)
	return p, nil
}

// newClient returns an HTTP client for control calls.
func newClient(d cluster.Dialer) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, DisableCompression: true,
		MaxIdleConnsPerHost: 4, IdleConnTimeout: 3 * time.Second,
	}}
}

func (p *Process) listen() error {
	config := net.ListenConfig{KeepAliveConfig: dialer.Probes}
	for _, l := range []struct {
		address netip.AddrPort
		target  *net.Listener
	}{{p.settings.Client, &p.clients}, {p.settings.Ready, &p.ready}, {p.settings.Peer, &p.peering}, {p.settings.Admin, &p.admin}} {
		opened, err := config.Listen(context.Background(), "tcp", l.address.String())
		if err != nil {
			return eris.Wrapf(err, "gatewayprocess: listen on %s", l.address)
		}
		*l.target = opened
	}
	return nil
}

// loop runs a function until the process has stopped.
func (p *Process) loop(run func(ctx context.Context)) {
	p.loops.Go(func() { run(p.background) })
}

// Run serves until SIGTERM, SIGINT or the end of the context, and then stops gracefully.
func (p *Process) Run(ctx context.Context) error {
	defer p.close()
	p.startLoops()
	admin := operator.New(func() any { return p.Dump() }, p.logger)
	app := kratos.New(
		kratos.Name("bramleystand-entry"),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(p.settings.Stop),
		kratos.Server(
			newServer(p.clients, p.handler.Filter),
			newServer(p.ready, func(http.Handler) http.Handler { return http.HandlerFunc(p.serveReady) }),
			newServer(p.admin, admin.Filter),
		),
		kratos.BeforeStop(p.depart),
	)
	p.logger.WithFields(log.Fields{"clients": p.clients.Addr().String(), "incarnation": p.self.Incarnation, "centre": p.self.DataCentre}).Info("started")
	stop := context.AfterFunc(ctx, func() { _ = app.Stop() })
	defer stop()
	if err := app.Run(); err != nil && !errors.Is(err, context.Canceled) {
		return eris.Wrap(err, "gatewayprocess: serve")
	}
	p.logger.Info("stopped")
	return nil
}

// newServer returns an HTTP server of kratos. The endpoint is given, because kratos would
// otherwise look for it among the network interfaces, which the platform does not show. Its
// own timeout would cut off requests; each has a deadline.
func newServer(l net.Listener, filter khttp.FilterFunc) *khttp.Server {
	s := khttp.NewServer(khttp.Listener(l), khttp.Endpoint(&url.URL{Scheme: "http", Host: l.Addr().String()}),
		khttp.Timeout(0), khttp.Filter(filter), khttp.NotFoundHandler(http.NotFoundHandler()))
	s.ReadHeaderTimeout = headerTimeout
	s.IdleTimeout = idleTimeout
	s.MaxHeaderBytes = largestHeader
	return s
}

// serveReady tells the balancer whether the process takes requests.
func (p *Process) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath {
		http.NotFound(w, r)
		return
	}
	ready := p.isReady()
	if p.answered.Swap(ready) != ready {
		p.logger.WithField("ready", ready).Info("answer to the balancer has changed")
	}
	if !ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// isReady reports whether the process can serve: it knows the configuration and servers, and
// the owners of the keys of each sharded service.
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
	p.loop(func(ctx context.Context) {
		if err := p.server.Serve(ctx, p.peering); err != nil {
			p.logger.WithError(err).Error("peers can't be served")
		}
	})
	for _, f := range p.followers {
		p.loop(f.Run)
	}
	p.loop(p.node.Run)
	p.loop(p.keeper.Run)
	p.loop(p.gate.Run)
	p.loop(p.askPeers)
	p.loop(p.followSettings)
	p.loop(p.followMembers)
}

// askPeers takes what peers know of the store until the store itself has been read.
func (p *Process) askPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(askInterval):
		}
		if p.replica.Listed(platform.KindConfiguration) && p.replica.Listed(platform.KindServers) && p.replica.Listed(replica.KindTables) {
			return
		}
		for _, seed := range p.settings.Seeds {
			if seed == p.settings.Peer {
				continue
			}
			objects, err := p.peers.Snapshot(ctx, seed)
			if err != nil {
				continue
			}
			if len(objects) > 0 {
				p.replica.Adopt(time.Now(), objects)
				break
			}
		}
	}
}

// askInterval is the time between two rounds of questions to peers while the store is silent.
const askInterval = 500 * time.Millisecond

// depart lets clients and the coordinator's role go elsewhere before the listeners close.
func (p *Process) depart(ctx context.Context) error {
	begin := time.Now()
	p.logger.Info("stopping")
	p.stopping.Store(true)
	p.handler.Stop()
	resigned := p.node.Resign(ctx)
	last := begin.Add(p.settings.Stop * longestNotice / 100)
	for now := begin; now.Before(last) && (!resigned || now.Sub(begin) < noticeTime); now = time.Now() {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(resignInterval):
		}
		resigned = resigned || p.node.Resign(ctx)
	}
	p.logger.WithField("ms", time.Since(begin).Milliseconds()).WithField("resigned", resigned).Info("listeners close")
	return nil
}

// close ends all loops.
func (p *Process) close() {
	p.cancel()
	p.loops.Wait()
	if err := p.peers.Close(); err != nil {
		p.logger.WithError(err).Warn("connections to peers not closed")
	}
}
