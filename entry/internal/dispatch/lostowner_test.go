package dispatch_test

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bramleystand.org/common/traffic"
)

// Guards against clients that are told to come back while the keys of a lost server still have no owner: a
// client comes back once.
func TestRetryAfterLossOfOwner(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	gone := &testServer{}
	gone.ID, gone.Incarnation, gone.Service, gone.Slots = "gone", 1, "svc", 4
	gone.Address = netip.MustParseAddrPort(l.Addr().String())
	must.NoError(t, l.Close())
	f := newFixture(t, true, unlimited{}, ampleBudget, gone)
	f.setOwner(gone, false)
	begin := time.Now()
	// The keys of a server that is silent are granted again 4 s after its loss.
	served := begin.Add(4 * time.Second)
	first := f.call(traffic.NonIdempotent)
	must.True(t, first.RetryAt.Before(served), must.Sprint("one failure is no loss"))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		r := f.call(traffic.NonIdempotent)
		return r.Status == http.StatusServiceUnavailable && !r.RetryAt.Before(served)
	}), wait.Timeout(3*time.Second), wait.Gap(20*time.Millisecond)), must.Sprint("the client must be told to come back when the keys have an owner"))
	f.setOwner(gone, true)
	must.False(t, f.call(traffic.NonIdempotent).RetryAt.Before(served), must.Sprint("while the keys move"))
}
