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

// Run serves until the context is cancelled, then finishes running requests within the stop time.
func Run(ctx context.Context, s settings.Settings, logger log.Interface, exit func(int)) error {
	listener, err := socket.Listen(s.Listen, s.Connections, s.DialCost)
	if err != nil {
		return fmt.Errorf("process: %w", err)
	}
	defer listener.Close()
	admin, err := net.Listen("tcp", s.Admin.String())
	if err != nil {
		return fmt.Errorf("process: admin: %w", err)
	}
	defer admin.Close()

	now := time.Now()
	backend := server.New(config(s, now), listener, fault.New(), clock.New(now), exit)
	if expvar.Get("backendd") == nil {
		expvar.Publish("backendd", expvar.Func(backend.Counts))
	}
	served := &http.Server{Handler: backend, ConnContext: server.ConnContext}
	control := &http.Server{Handler: backend}
	failed := make(chan error, 2)
	go func() { failed <- served.Serve(listener) }()
	go func() { failed <- control.Serve(admin) }()
	logger.WithFields(log.Fields{
		"address": listener.Addr().String(),
		"admin":   admin.Addr().String(),
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
	defer control.Close()
	if err := served.Shutdown(deadline); err != nil {
		return errors.Join(fmt.Errorf("process: stop: %w", err), served.Close())
	}
	logger.Info("stopped")
	return nil
}

// config maps settings to the server's configuration.
func config(s settings.Settings, now time.Time) server.Config {
	return server.Config{
		Name:   s.Name,
		Slots:  s.Slots,
		Fenced: s.Fenced,
		Probe:  s.ProbeCost,
		Means: [rank.Count]time.Duration{
			rank.Confirmation: s.Confirmation,
			rank.Lookup:       s.Lookup,
			rank.Upload:       s.Upload,
		},
		Warm:       now.Add(s.Cold),
		Seed:       s.Seed,
		Executions: s.Executions,
	}
}
