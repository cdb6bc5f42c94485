// Package process builds and runs a platformd process.
//
// # Usage
//
//	err := process.Run(ctx, settings, logger)
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

	"bramleystand.org/platformd/internal/fault"
	"bramleystand.org/platformd/internal/server"
	"bramleystand.org/platformd/internal/settings"
	"bramleystand.org/platformd/internal/store"
	"bramleystand.org/platformd/internal/vm"
)

// Run serves requests until the context is cancelled. It then makes waiting watches answer at once
// and gives other calls the time of settings.Stop to finish.
func Run(ctx context.Context, s settings.Settings, logger log.Interface) error {
	vms, err := s.ReadVMs()
	if err != nil {
		return fmt.Errorf("process: %w", err)
	}
	listener, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return fmt.Errorf("process: listen: %w", err)
	}
	defer listener.Close()
	platform := server.New(store.New(s.History), vm.New(vms, s.Lag), fault.New())
	if expvar.Get("platformd") == nil {
		expvar.Publish("platformd", expvar.Func(platform.Calls))
	}
	httpServer := &http.Server{Handler: platform}
	serveErr := make(chan error, 1)
	go func() { serveErr <- httpServer.Serve(listener) }()
	logger.WithField("address", listener.Addr().String()).Info("ready")

	select {
	case err := <-serveErr:
		return fmt.Errorf("process: serve: %w", err)
	case <-ctx.Done():
	}
	logger.Info("stopping")
	platform.Stop()
	deadline, cancel := context.WithDeadline(context.WithoutCancel(ctx), time.Now().Add(s.Stop))
	defer cancel()
	if err := httpServer.Shutdown(deadline); err != nil {
		return errors.Join(fmt.Errorf("process: stop: %w", err), httpServer.Close())
	}
	logger.Info("stopped")
	return nil
}
