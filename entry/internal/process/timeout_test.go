package process_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a request that reaches its deadline making all later ones on the same
// connection of its client fail, because its read deadline ends the context of the connection.
func TestRequestAfterTimeout(t *testing.T) {
	platform := newFakePlatform()
	slow := &fakeBackend{name: "u1"}
	slow.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			<-r.Context().Done()
		}
		_, _ = io.WriteString(w, slow.name)
	}))
	t.Cleanup(slow.Close)
	putService(t, platform, []*fakeBackend{slow})
	v := startEntryVMs(t, platform, "e1")[0]
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	get := func(key, timeout string) (int, string) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, v.url+"/v1/keys/seat-desk/"+key, nil)
		must.NoError(t, err)
		r.Header.Set("Bramley-Timeout", timeout)
		response, err := client.Do(r)
		must.NoError(t, err)
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		must.NoError(t, err)
		return response.StatusCode, response.Header.Get("Bramley-Outcome")
	}
	for status := http.StatusNotFound; status == http.StatusNotFound; {
		status, _ = get("quick", "60000")
	}
	_, outcome := get("slow", "300")
	must.Eq(t, "unknown", outcome)
	_, outcome = get("quick", "60000")
	must.Eq(t, "ran", outcome)
	client.CloseIdleConnections()
	v.stop()
	must.NoError(t, <-v.done)
}
