// Package process builds and runs a backendd process.
//
// # Usage
//
//	err := process.Run(ctx, settings, logger, os.Exit)
package process

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"bramleystand.org/backendd/internal/clock"
	"bramleystand.org/backendd/internal/fault"
	"bramleystand.org/backendd/internal/server"
	"bramleystand.org/backendd/internal/settings"
	"bramleystand.org/backendd/internal/socket"
	"bramleystand.org/common/rank"
)

// Run serves until ctx is cancelled. It then refuses new requests and waits up to the
// stop time for running ones. A request with the crash header calls exit.
func Run(ctx context.Context, s settings.Settings, logger log.Interface, exit func(int)) error {
	listener, err := socket.Listen(s.Listen, s.Connections, s.DialCost)
	if err != nil {
		return fmt.Errorf("process: %w", err)
	}
	defer listener.Close()
	adminListener, err := net.Listen("tcp", s.Admin.String())
	if err != nil {
		return fmt.Errorf("process: admin: %w", err)
	}
	defer adminListener.Close()

	now := time.Now()
	backend := server.New(serverConfig(s, now), listener, fault.New(), clock.New(now), exit)
	if expvar.Get("backendd") == nil {
		expvar.Publish("backendd", expvar.Func(backend.Counts))
	}
	requestServer := &http.Server{Handler: backend, ConnContext: server.ConnContext}
	adminServer := &http.Server{Handler: backend}
	failed := make(chan error, 2)
	go func() { failed <- requestServer.Serve(listener) }()
	go func() { failed <- adminServer.Serve(adminListener) }()
	logger.WithFields(log.Fields{
		"address": listener.Addr().String(),
		"admin":   adminListener.Addr().String(),
		"fenced":  s.Fenced,
	}).Info("ready")

	select {
	case err := <-failed:
		return fmt.Errorf("process: serve: %w", err)
	case <-ctx.Done():
	}
	logger.Info("stopping")
	backend.Drain()
	deadline, cancel := context.WithDeadline(context.WithoutCancel(ctx), time.Now().Add(s.Stop))
	defer cancel()
	defer adminServer.Close()
	if err := requestServer.Shutdown(deadline); err != nil {
		return errors.Join(fmt.Errorf("process: stop: %w", err), requestServer.Close())
	}
	logger.Info("stopped")
	return nil
}

// serverConfig converts settings to the server's configuration. The warm-up ends
// s.Cold after now.
func serverConfig(s settings.Settings, now time.Time) server.Config {
	return server.Config{
		Name:      s.Name,
		Slots:     s.Slots,
		Fenced:    s.Fenced,
		ProbeTime: s.ProbeCost,
		MeanServiceTimes: [rank.Count]time.Duration{
			rank.Confirmation: s.Confirmation,
			rank.Lookup:       s.Lookup,
			rank.Upload:       s.Upload,
		},
		WarmAt:     now.Add(s.Cold),
		Seed:       s.Seed,
		Executions: s.Executions,
	}
}
