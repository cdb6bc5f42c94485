package gatewayprocess

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/entry/internal/httpserver"
)

// transportServer is a server of kratos that stops at a point in time. The stop timeout of kratos begins
// only after the drain.
type transportServer struct {
	*httpserver.Server
	end *atomic.Pointer[time.Time]
}

// Start implements transport.Server.
func (s *transportServer) Start(context.Context) error { return s.Serve() }

// Stop implements transport.Server. It waits for the requests in progress until the end and then closes
// their connections.
func (s *transportServer) Stop(ctx context.Context) error {
	if end := s.end.Load(); end != nil {
		bounded, cancel := context.WithDeadline(ctx, *end)
		defer cancel()
		ctx = bounded
	}
	if err := s.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return eris.Wrap(err, "gatewayprocess: stop server")
	}
	return nil
}
