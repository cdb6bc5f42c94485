// Package process builds an entry process from its settings, runs it, and stops it
// without failing requests.
//
// # Usage
//
//	p, err := process.New(s, time.Now(), platform, metrics, logger)
//	if err != nil {
//		return fmt.Errorf("entry: %w", err)
//	}
//	err = p.Run(ctx)
package process

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rotisserie/eris"

	"bramleystand.org/entry/internal/caller"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/dialer"
	"bramleystand.org/entry/internal/directory"
	"bramleystand.org/entry/internal/operator"
	"bramleystand.org/entry/internal/pair"
	"bramleystand.org/entry/internal/peer"
	"bramleystand.org/entry/internal/retry"
	"bramleystand.org/entry/internal/router"
	"bramleystand.org/entry/internal/settings"
	"bramleystand.org/entry/internal/suspect"
	"bramleystand.org/entry/internal/watcher"
)

// maxSuspects is the maximum number of verdicts on suspect requests that are kept.
const maxSuspects = 10_000

// Process is one entry process.
type Process struct {
	settings settings.Settings
	self     control.Member
	logger   log.Interface

	directory     *directory.Directory
	pairDirectory *pairDirectory
	routes        *routes
	peers         *peer.Client
	platform      Platform
	pairStore     *pairStore
	localHandler  *localHandler
	router        *router.Router
	pairRegistry  *pairRegistry
	runnerManager *runnerManager
	suspects      *suspect.List
	handler       *caller.Handler

	callerListener, peerListener, adminListener net.Listener
	// backgroundCtx ends the background tasks, after the last request has ended.
	backgroundCtx    context.Context
	cancelBackground context.CancelFunc
	backgroundTasks  sync.WaitGroup
}

// New opens the listeners and builds the process without starting it.
func New(s settings.Settings, now time.Time, platform Platform, metrics *expvar.Map, logger log.Interface) (*Process, error) {
	p := &Process{settings: s, platform: platform, logger: logger}
	if err := p.openListeners(); err != nil {
		return nil, err
	}
	address, err := p.peerAddress()
	if err != nil {
		return nil, err
	}
	p.self = control.Member{Name: s.Name, Incarnation: now.UnixNano(), DataCentre: s.DataCentre, Address: address}
	p.backgroundCtx, p.cancelBackground = context.WithCancel(context.Background())
	rng := rand.New(rand.NewPCG(uint64(p.self.Incarnation), 0))
	p.directory = directory.New(now, p.self, s.Seeds, rng)
	p.pairDirectory = newPairDirectory(p.directory)
	p.routes = newRoutes(p.directory)
	p.peers = peer.NewClient(dialer.New(s.PeerAddress.Addr()))
	p.pairStore = &pairStore{platform: platform, logger: logger}
	p.localHandler = newLocalHandler(p.directory)
	p.suspects = suspect.New(maxSuspects)
	p.pairRegistry = newPairRegistry(p.pairDirectory, p.startPair)
	p.runnerManager = newRunnerManager(p.pairDirectory, p.pairRegistry, p.localHandler, p.suspects, dialer.New(s.PeerAddress.Addr()), logger)
	p.router = router.New(p.self, p.routes, p.localHandler, p.peers, retry.New(retry.Default))
	p.handler = caller.New(p.router, p.routes, s.MaxBodyBytes, caller.NewResponseCounters(metrics), logger)
	return p, nil
}

// peerAddress returns the peer address that is announced to other members: the one of the
// settings, or else the listener's.
func (p *Process) peerAddress() (netip.AddrPort, error) {
	if p.settings.AnnouncedAddress.IsValid() {
		return p.settings.AnnouncedAddress, nil
	}
	peerAddress, err := netip.ParseAddrPort(p.peerListener.Addr().String())
	if err != nil {
		return peerAddress, fmt.Errorf("process: peer address: %w", err)
	}
	return peerAddress, nil
}

func (p *Process) openListeners() error {
	for _, l := range []struct {
		address netip.AddrPort
		target  *net.Listener
	}{{p.settings.CallerAddress, &p.callerListener}, {p.settings.PeerAddress, &p.peerListener}, {p.settings.AdminAddress, &p.adminListener}} {
		listener, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return eris.Wrapf(err, "process: listen on %s", l.address)
		}
		*l.target = listener
	}
	return nil
}

func (p *Process) startPair(id control.Pair) *pair.Pair {
	newPair := pair.New(id, p.self, loadPlanner{}, p.pairDirectory, p.peers, p.pairStore, p.logger)
	p.runBackgroundTask(newPair.Run)
	if id.DataCentre == p.self.DataCentre {
		p.runBackgroundTask(func(ctx context.Context) { p.localHandler.wakeOnRenewal(ctx, id.Service, newPair) })
	}
	return newPair
}

// runBackgroundTask runs a function in a goroutine; its context ends when the process stops.
func (p *Process) runBackgroundTask(run func(ctx context.Context)) {
	p.backgroundTasks.Add(1)
	go func() {
		defer p.backgroundTasks.Done()
		run(p.backgroundCtx)
	}()
}

// Run serves until SIGTERM, SIGINT or the end of the context, and then stops gracefully.
func (p *Process) Run(ctx context.Context) error {
	defer p.close()
	p.startBackgroundTasks()
	admin := operator.New(func() any { return p.Dump(time.Now()) }, nil, p.logger)
	app := kratos.New(
		kratos.Name("bramleystand-entry"),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(p.settings.Stop),
		kratos.Server(
			newHTTPServer(p.callerListener, p.handler.Filter),
			newHTTPServer(p.adminListener, admin.Filter),
		),
		kratos.BeforeStop(func(ctx context.Context) error { return p.handOver(ctx) }),
	)
	p.logger.WithFields(log.Fields{
		"caller": p.callerListener.Addr().String(), "peer": p.peerListener.Addr().String(), "admin": p.adminListener.Addr().String(),
	}).Info("ready")
	// Stop is used because cancelling kratos's own context would skip handOver.
	stop := context.AfterFunc(ctx, func() { _ = app.Stop() })
	defer stop()
	if err := app.Run(); err != nil && !errors.Is(err, context.Canceled) {
		return eris.Wrap(err, "process: run the HTTP servers")
	}
	p.drainForwarded()
	p.logger.Info("stopped")
	return nil
}

// newHTTPServer returns a kratos HTTP server. The default request timeout of kratos, one
// second, is off because it would cut off uploads; each request has a deadline of its own.
func newHTTPServer(l net.Listener, filter khttp.FilterFunc) *khttp.Server {
	s := khttp.NewServer(khttp.Listener(l), khttp.Timeout(0), khttp.Filter(filter), khttp.NotFoundHandler(http.NotFoundHandler()))
	s.ReadHeaderTimeout = 10 * time.Second
	s.IdleTimeout = 2 * time.Minute
	return s
}

func (p *Process) startBackgroundTasks() {
	peerServer := peer.NewServer(p.localHandler, p.pairRegistry, p.logger)
	p.runBackgroundTask(func(ctx context.Context) {
		if err := peerServer.Serve(ctx, p.peerListener); err != nil {
			p.logger.WithError(err).Error("serving peers failed")
		}
	})
	directorySync := &directorySyncer{directory: p.directory, peers: p.peers, logger: p.logger}
	p.runBackgroundTask(func(ctx context.Context) { directorySync.run(ctx, true, directory.ExchangeInterval) })
	p.runBackgroundTask(func(ctx context.Context) { directorySync.run(ctx, false, directory.RemoteExchangeInterval) })
	platformWatcher := watcher.New(p.platform, p.directory, p.logger)
	p.runBackgroundTask(func(ctx context.Context) {
		if err := platformWatcher.Run(ctx); err != nil && ctx.Err() == nil {
			p.logger.WithError(err).Error("watching the platform failed")
		}
	})
	p.runBackgroundTask(p.routes.run)
	p.runBackgroundTask(p.pairRegistry.run)
	p.runBackgroundTask(p.runnerManager.run)
	p.runBackgroundTask(p.runnerManager.runSuspectSync)
	p.runBackgroundTask(p.pollVMs)
}

// close ends all background tasks, waits for them and closes the connections to peers.
func (p *Process) close() {
	p.cancelBackground()
	p.backgroundTasks.Wait()
	if err := p.peers.Close(); err != nil {
		p.logger.WithError(err).Warn("closing the connections to peers failed")
	}
}
