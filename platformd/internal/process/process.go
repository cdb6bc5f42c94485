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

// Run serves until the context is cancelled, then ends waiting watches and finishes other calls.
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
	served := &http.Server{Handler: platform}
	failed := make(chan error, 1)
	go func() { failed <- served.Serve(listener) }()
	logger.WithField("address", listener.Addr().String()).Info("ready")

	select {
	case err := <-failed:
		return fmt.Errorf("process: serve: %w", err)
	case <-ctx.Done():
	}
	logger.Info("stopping")
	platform.Stop()
	deadline, cancel := context.WithDeadline(context.WithoutCancel(ctx), time.Now().Add(s.Stop))
	defer cancel()
	if err := served.Shutdown(deadline); err != nil {
		return errors.Join(fmt.Errorf("process: stop: %w", err), served.Close())
	}
	logger.Info("stopped")
	return nil
}
