package gatewayprocess

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rotisserie/eris"
)

// boundedServer is a server of kratos that stops at a point in time. The stop timeout of kratos begins
// only after the drain.
type boundedServer struct {
	*khttp.Server
	end *atomic.Pointer[time.Time]
}

// Stop implements transport.Server. It waits for the requests in progress until the end and then closes
// their connections.
func (s *boundedServer) Stop(ctx context.Context) error {
	if end := s.end.Load(); end != nil {
		bounded, cancel := context.WithDeadline(ctx, *end)
		defer cancel()
		ctx = bounded
	}
	err := s.Server.Stop(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = s.Close()
	}
	return eris.Wrap(err, "gatewayprocess: stop server")
}
