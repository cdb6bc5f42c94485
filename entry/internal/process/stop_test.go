package process_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// Guards against a request that waits for a slot until its process is killed at the stop timeout.
func TestWaitingRequestAnsweredBeforeStop(t *testing.T) {
	const slots = 4
	var running atomic.Int32
	finish := make(chan struct{})
	platform := newFakePlatform()
	s := &fakeBackend{name: "u1"}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			running.Add(1)
			<-finish
		}
		_, _ = io.WriteString(w, s.name)
	}))
	t.Cleanup(s.Close)
	putService(t, platform, []*fakeBackend{s})
	v := startEntryVMs(t, platform, "e1")[0]
	header := map[string]string{"Bramley-Timeout": "60000"}
	for status := http.StatusNotFound; status == http.StatusNotFound; {
		status, _, _ = v.request(t, http.MethodGet, "/v1/keys/seat-desk/quick", header)
	}
	get := func(key string) string {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, v.url+"/v1/keys/seat-desk/"+key, nil)
		if err != nil {
			return err.Error()
		}
		r.Header.Set("Bramley-Timeout", "60000")
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return err.Error()
		}
		defer response.Body.Close()
		return response.Header.Get("Bramley-Outcome")
	}
	ended := make(chan string, slots)
	for range slots {
		go func() { ended <- get("slow") }()
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return running.Load() == slots }), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
	waiting := make(chan string, 1)
	go func() { waiting <- get("quick") }()
	v.stop()
	finishSlow := sync.OnceFunc(func() { close(finish) })
	defer finishSlow()
	select {
	case outcome := <-waiting:
		must.Eq(t, "not-run", outcome)
	case err := <-v.done:
		t.Fatalf("the process has stopped before the response: %v", err)
	}
	finishSlow()
	for range slots {
		must.Eq(t, "ran", <-ended)
	}
	must.NoError(t, <-v.done)
}
