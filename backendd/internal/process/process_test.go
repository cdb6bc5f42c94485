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

	"bramleystand.org/backendd/internal/process"
	"bramleystand.org/backendd/internal/settings"
	"bramleystand.org/common/logging"
)

// Guards against a "ready" log line without the assigned ports, and against a stop that
// cuts off a running request.
func TestRun(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	local := netip.MustParseAddrPort("127.0.0.1:0")
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- process.Run(ctx, settings.Settings{
			Listen: local, Admin: local, Name: "b1", Slots: 1, Connections: 4,
			Upload: 50 * time.Millisecond, Stop: 10 * time.Second, Executions: 10,
		}, logging.New(w, "backendd", "b1"), func(int) {})
	}()
	logLines := json.NewDecoder(r)
	var ready struct {
		Message string
		Fields  struct{ Address, Admin string }
	}
	must.NoError(t, logLines.Decode(&ready))
	must.Eq(t, "ready", ready.Message)
	statuses := make(chan int, 1)
	body, send := io.Pipe()
	go func() {
		req, _ := http.NewRequest("POST", "http://"+ready.Fields.Address+"/keys/a", body)
		req.Header.Set("Bramley-Rank", "upload")
		response, err := http.DefaultClient.Do(req)
		if err != nil {
			statuses <- 0
			return
		}
		response.Body.Close()
		statuses <- response.StatusCode
	}()
	_, err := send.Write([]byte("begun"))
	must.NoError(t, err)
	// Poll the admin address until the request runs.
	for running := false; !running; {
		response, err := http.Get("http://" + ready.Fields.Admin + "/dump")
		must.NoError(t, err)
		var dump struct{ Running []json.RawMessage }
		must.NoError(t, json.NewDecoder(response.Body).Decode(&dump))
		response.Body.Close()
		running = len(dump.Running) == 1
	}
	stop()
	must.NoError(t, logLines.Decode(&ready))
	must.NoError(t, send.Close())
	must.Eq(t, http.StatusOK, <-statuses)
	go io.Copy(io.Discard, r)
	must.NoError(t, <-done)
}
