package process_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/logging"
	"bramleystand.org/platformd/internal/process"
	"bramleystand.org/platformd/internal/settings"
)

// Guards against a "ready" log line without the port that was picked, and against a stop that waits
// until the wait of a watch is over.
func TestRun(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	s := settings.Settings{Listen: netip.MustParseAddrPort("127.0.0.1:0"), History: 4, Stop: time.Minute}
	go func() { done <- process.Run(ctx, s, logging.New(w, "platformd", "p")) }()
	lines := json.NewDecoder(r)
	var ready struct {
		Message string
		Fields  struct{ Address string }
	}
	must.NoError(t, lines.Decode(&ready))
	must.Eq(t, "ready", ready.Message)
	codes := make(chan int, 1)
	go func() {
		response, err := http.Get("http://" + ready.Fields.Address + "/watch?after=0&wait=60s")
		if err != nil {
			codes <- 0
			return
		}
		response.Body.Close()
		codes <- response.StatusCode
	}()
	for waiting := 0; waiting == 0; {
		response, err := http.Get("http://" + ready.Fields.Address + "/calls")
		must.NoError(t, err)
		var calls struct{ Watch int }
		must.NoError(t, json.NewDecoder(response.Body).Decode(&calls))
		response.Body.Close()
		waiting = calls.Watch
	}
	stop()
	go io.Copy(io.Discard, io.MultiReader(lines.Buffered(), r))
	must.Eq(t, 200, <-codes)
	must.NoError(t, <-done)
}
