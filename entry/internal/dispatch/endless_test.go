package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/traffic"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/retry"
	"bramleystand.org/entry/internal/suspect"
)

// countingLimiter counts the slots in use.
type countingLimiter struct {
	unlimited
	inUse *atomic.Int64
}

func (l countingLimiter) Acquire(context.Context, dispatch.SlotRequest) (dispatch.Slot, error) {
	l.inUse.Add(1)
	return l, nil
}

func (l countingLimiter) Release(dispatch.Outcome) { l.inUse.Add(-1) }

// Guards against a response without end that takes the request's whole time or its slot, leads to a 503,
// counts as a crash, or is not followed by another attempt where one is allowed.
func TestEndlessResponse(t *testing.T) {
	for name, start := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX: ", "body": "HTTP/1.1 200 OK\r\nId: id\r\nProof: s\r\nContent-Length: 1000000000000\r\n\r\n", "no HTTP": "",
	} {
		for _, c := range []struct {
			kind   traffic.Kind
			budget retry.Limit
			status int
			reason dispatch.Reason
			second int
		}{
			{traffic.Idempotent, ampleBudget, http.StatusOK, dispatch.Answered, 1},
			{traffic.Idempotent, retry.Limit{Burst: 1}, http.StatusBadGateway, dispatch.UnusableResponse, 0},
			{traffic.NonIdempotent, ampleBudget, http.StatusBadGateway, dispatch.UnusableResponse, 0},
			{traffic.Upload, ampleBudget, http.StatusBadGateway, dispatch.UnusableResponse, 0},
		} {
			t.Run(fmt.Sprint(name, " ", c.kind, " ", c.status), func(t *testing.T) {
				ended := make(chan error, 1)
				a := newServer(t, "a", func(_ int, w http.ResponseWriter, _ *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					must.NoError(t, err)
					ended <- sendEndlessly(conn, start)
				})
				b := newServer(t, "b", handleOK)
				limiter := countingLimiter{inUse: new(atomic.Int64)}
				tracker := &fakeCrashTracker{crashes: make(map[suspect.Fingerprint]int)}
				f := newFixture(t, false, limiter, c.budget, a, b)
				f.dispatcher = dispatch.New(f.view, limiter, retry.New(c.budget), &net.Dialer{}, testHeaderFields{}, "x", noTracking{}, tracker, noTracking{}, noTracking{}, noTracking{})
				r := f.call(c.kind)
				must.Eq(t, c.status, r.Status, must.Sprint(r.Cause))
				must.Eq(t, c.reason, r.Reason)
				must.Eq(t, c.second, b.requests())
				must.Eq(t, 0, limiter.inUse.Load())
				must.MapEmpty(t, tracker.crashes)
				must.Error(t, <-ended)
			})
		}
	}
}

// sendEndlessly sends a text and then more bytes until the client has closed the connection, 48 MiB at
// most.
func sendEndlessly(c net.Conn, start string) error {
	defer c.Close()
	_, err := io.WriteString(c, start)
	block := make([]byte, 64<<10)
	for i := range block {
		block[i] = 'a'
	}
	for sent := 0; err == nil && sent < 48<<20; sent += len(block) {
		_, err = c.Write(block)
	}
	return err
}
