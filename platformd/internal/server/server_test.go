package server_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/platformd/internal/fault"
	"bramleystand.org/platformd/internal/server"
	"bramleystand.org/platformd/internal/store"
	"bramleystand.org/platformd/internal/vm"
)

// testServer calls the handler without a network.
type testServer struct{ *server.Server }

// newTestServer returns a server that remembers at least 2 changes and shows changes of the list
// of VMs after a minute.
func newTestServer() testServer {
	return testServer{server.New(store.New(2), vm.New(nil, time.Minute), fault.New())}
}

// call sends a request and returns the response, or nil if the connection was closed without one.
func (p testServer) call(ctx context.Context, method, path, body string, header ...string) (w *httptest.ResponseRecorder) {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	defer func() {
		if v := recover(); v == http.ErrAbortHandler {
			w = nil
		} else if v != nil {
			panic(v)
		}
	}()
	w = httptest.NewRecorder()
	p.ServeHTTP(w, r)
	return w
}

// write puts or deletes an object that must have the given version, and returns the response.
func (p testServer) write(t *testing.T, method, name, version string) *httptest.ResponseRecorder {
	t.Helper()
	return p.call(t.Context(), method, "/objects/"+name, name+" value", "If-Version", version, "Author", "ada", "Change", "c"+version)
}

// response is the union of the fields of all responses.
type response struct {
	Error, Author, Change string
	Version               int64
	Deleted               bool
	Objects               []struct {
		Name    string
		Version int64
		Deleted bool
		Value   []byte
	}
	VMs []struct{ Name, DC, State string }
}

// calls returns the number of calls as the server reports it.
func (p testServer) calls(t *testing.T) (n struct{ Get, Put, Watch, Total int }) {
	t.Helper()
	must.NoError(t, json.Unmarshal(p.call(t.Context(), "GET", "/calls", "").Body.Bytes(), &n))
	return n
}

// decodeResponse checks the status of a response and parses its body.
func decodeResponse(t *testing.T, status int, w *httptest.ResponseRecorder) response {
	t.Helper()
	must.NotNil(t, w)
	must.Eq(t, status, w.Code, must.Sprint(w.Body.String()))
	var decoded response
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &decoded))
	return decoded
}

// Guards against a write that overwrites a newer version, and against a conflict that does not name
// the author and the change that came first.
func TestWrite(t *testing.T) {
	p := newTestServer()
	must.Eq(t, 1, decodeResponse(t, 200, p.write(t, "PUT", "services/a", "0")).Version)
	conflict := decodeResponse(t, 409, p.write(t, "PUT", "services/a", "0"))
	must.Eq(t, 1, conflict.Version)
	must.Eq(t, "ada", conflict.Author)
	must.Eq(t, "c0", conflict.Change)
	must.StrContains(t, conflict.Error, `at version 1 by "ada"`)
	got := p.call(t.Context(), "GET", "/objects/services/a", "")
	must.Eq(t, "services/a value", got.Body.String())
	must.Eq(t, []string{"1", "ada", "c0"}, []string{got.Header().Get("Version"), got.Header().Get("Author"), got.Header().Get("Change")})
	must.Eq(t, 2, decodeResponse(t, 200, p.write(t, "DELETE", "services/a", "1")).Version)
	deleted := decodeResponse(t, 404, p.call(t.Context(), "GET", "/objects/services/a", ""))
	must.True(t, deleted.Deleted)
	must.Eq(t, 2, deleted.Version)
	must.True(t, decodeResponse(t, 409, p.write(t, "PUT", "services/a", "0")).Deleted, must.Sprint("a delayed create must not undo a deletion"))
	must.Eq(t, 3, decodeResponse(t, 200, p.write(t, "PUT", "services/a", "2")).Version)
	must.Len(t, 1, decodeResponse(t, 200, p.call(t.Context(), "GET", "/objects?prefix=services/", "")).Objects)
}

// Guards against accepting a write without a version, an author or a change identifier, and one
// whose value is too large.
func TestRejectsIncompleteWrite(t *testing.T) {
	p := newTestServer()
	putStatus := func(body string, header ...string) int {
		return p.call(t.Context(), "PUT", "/objects/a", body, header...).Code
	}
	must.Eq(t, 428, putStatus("", "Author", "ada", "Change", "c"))
	must.Eq(t, 400, putStatus("", "If-Version", "0", "Change", "c"))
	must.Eq(t, 400, putStatus("", "If-Version", "0", "Author", "ada"))
	must.Eq(t, 400, putStatus("", "If-Version", "x", "Author", "ada", "Change", "c"))
	must.Eq(t, 413, putStatus(strings.Repeat("x", 1<<20+1), "If-Version", "0", "Author", "ada", "Change", "c"))
	must.Eq(t, 200, putStatus(strings.Repeat("x", 1<<20), "If-Version", "0", "Author", "ada", "Change", "c"))
	must.Eq(t, 404, p.call(t.Context(), "POST", "/objects/a", "").Code)
}

// Guards against a watch that misses a change, answers for objects without its prefix, or answers
// before there is a change and the wait is over.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestServer()
		responses := make(chan *httptest.ResponseRecorder)
		go func() { responses <- p.call(t.Context(), "GET", "/watch?prefix=a/&after=0&wait=30s", "") }()
		synctest.Wait()
		p.write(t, "PUT", "b/1", "0")
		p.write(t, "PUT", "a/1", "0")
		n := decodeResponse(t, 200, <-responses)
		must.Len(t, 1, n.Objects)
		must.Eq(t, "a/1 value", string(n.Objects[0].Value))
		must.Eq(t, 2, n.Version)
		p.write(t, "PUT", "a/1", "2")
		p.write(t, "DELETE", "a/1", "3")
		n = decodeResponse(t, 200, p.call(t.Context(), "GET", "/watch?prefix=a/&after=2&wait=30s", ""))
		must.Len(t, 2, n.Objects)
		must.True(t, n.Objects[1].Deleted)

		start := time.Now()
		n = decodeResponse(t, 200, p.call(t.Context(), "GET", "/watch?prefix=a/&after=4&wait=30s", ""))
		must.SliceEmpty(t, n.Objects)
		must.Eq(t, 30*time.Second, time.Since(start))
		must.Eq(t, 3, p.calls(t).Watch)

		p.write(t, "PUT", "b/1", "1")
		must.Eq(t, 5, decodeResponse(t, 410, p.call(t.Context(), "GET", "/watch?after=1&wait=0s", "")).Version)
		must.Eq(t, 410, p.call(t.Context(), "GET", "/watch?after=9&wait=0s", "").Code)
		must.Eq(t, 400, p.call(t.Context(), "GET", "/watch?after=x&wait=0s", "").Code)
		must.Eq(t, 400, p.call(t.Context(), "GET", "/watch?after=0&wait=1h", "").Code)
	})
}

// Guards against an outage that lets calls through, and against a lost response whose write does not
// take effect.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestServer()
		set := func(faults string) response {
			return decodeResponse(t, 200, p.call(t.Context(), "POST", "/faults", faults))
		}
		set(`{"loseAnswers":1}`)
		must.Nil(t, p.write(t, "PUT", "a", "0"))
		must.Eq(t, 200, p.call(t.Context(), "GET", "/objects/a", "").Code)
		must.Eq(t, 409, p.write(t, "PUT", "a", "0").Code)

		set(`{"outage":"refuse"}`)
		must.Nil(t, p.write(t, "PUT", "a", "1"))
		set(`{"outage":"fail"}`)
		decodeResponse(t, 503, p.write(t, "PUT", "a", "1"))
		set(`{"outage":"hang","outageMs":5000}`)
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		p.call(ctx, "GET", "/objects/a", "")
		must.Eq(t, time.Second, time.Since(start))
		must.Eq(t, 200, p.write(t, "PUT", "a", "1").Code)
		must.Eq(t, 5*time.Second, time.Since(start))
		set(`{"outage":"","delayMs":100}`)
		start = time.Now()
		must.Eq(t, 200, p.call(t.Context(), "GET", "/objects/a", "").Code)
		must.Eq(t, 100*time.Millisecond, time.Since(start))
		n := p.calls(t)
		must.Eq(t, []int{3, 5, 8}, []int{n.Get, n.Put, n.Total})
		for _, invalid := range []string{`{"outage":"x"}`, `{"outageMs":1}`, `{"delayMs":-1}`, `{"loseAnswers":-1}`, `{"x":1}`} {
			must.Eq(t, 400, p.call(t.Context(), "POST", "/faults", invalid).Code, must.Sprint(invalid))
		}
		must.Eq(t, 200, p.call(t.Context(), "GET", "/dump", "").Code)
	})
}

// Guards against a watch that goes on waiting when an outage begins.
func TestWatchOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestServer()
		responses := make(chan *httptest.ResponseRecorder)
		go func() { responses <- p.call(t.Context(), "GET", "/watch?after=0&wait=30s", "") }()
		synctest.Wait()
		p.call(t.Context(), "POST", "/faults", `{"outage":"refuse"}`)
		must.Nil(t, <-responses)
	})
}

// Guards against changes of the list of VMs that are visible before the lag is over or while the
// list is held stale.
func TestVMLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestServer()
		must.Eq(t, 200, p.call(t.Context(), "POST", "/vms", `{"vms":[{"name":"a","dc":"klm","state":"live"}]}`).Code)
		must.Eq(t, 400, p.call(t.Context(), "POST", "/vms", `{"vms":[{"name":"a","state":"x"}]}`).Code)
		n := decodeResponse(t, 200, p.call(t.Context(), "GET", "/vms", ""))
		must.SliceEmpty(t, n.VMs)
		p.call(t.Context(), "POST", "/faults", `{"staleVMs":true}`)
		time.Sleep(time.Minute)
		must.SliceEmpty(t, decodeResponse(t, 200, p.call(t.Context(), "GET", "/vms", "")).VMs)
		p.call(t.Context(), "POST", "/faults", `{"staleVMs":false}`)
		n = decodeResponse(t, 200, p.call(t.Context(), "GET", "/vms", ""))
		must.Eq(t, "klm", n.VMs[0].DC)
		must.Eq(t, 2, n.Version)
	})
}
