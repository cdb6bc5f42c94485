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

// bench runs the handler without a network.
type bench struct{ *server.Server }

func newBench() bench {
	return bench{server.New(store.New(2), vm.New(nil, time.Minute), fault.New())}
}

// call returns nil if the connection was closed without an answer.
func (p bench) call(ctx context.Context, method, path, body string, header ...string) (w *httptest.ResponseRecorder) {
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

// write puts an object, or deletes it, and returns the answer.
func (p bench) write(t *testing.T, method, name, version string) *httptest.ResponseRecorder {
	t.Helper()
	return p.call(t.Context(), method, "/objects/"+name, name+" value", "If-Version", version, "Author", "ada", "Change", "c"+version)
}

// parsed is the union of the answers' fields.
type parsed struct {
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

// calls returns the numbers of calls.
func (p bench) calls(t *testing.T) (n struct{ Get, Put, Watch, Total int }) {
	t.Helper()
	must.NoError(t, json.Unmarshal(p.call(t.Context(), "GET", "/calls", "").Body.Bytes(), &n))
	return n
}

func parse(t *testing.T, status int, w *httptest.ResponseRecorder) parsed {
	t.Helper()
	must.NotNil(t, w)
	must.Eq(t, status, w.Code, must.Sprint(w.Body.String()))
	var n parsed
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &n))
	return n
}

// Guards against updates that are lost in a race, and against losers who are not told of the winner.
func TestWrite(t *testing.T) {
	p := newBench()
	must.Eq(t, 1, parse(t, 200, p.write(t, "PUT", "services/a", "0")).Version)
	lost := parse(t, 409, p.write(t, "PUT", "services/a", "0"))
	must.Eq(t, 1, lost.Version)
	must.Eq(t, "ada", lost.Author)
	must.Eq(t, "c0", lost.Change)
	must.StrContains(t, lost.Error, `at version 1 by "ada"`)
	got := p.call(t.Context(), "GET", "/objects/services/a", "")
	must.Eq(t, "services/a value", got.Body.String())
	must.Eq(t, []string{"1", "ada", "c0"}, []string{got.Header().Get("Version"), got.Header().Get("Author"), got.Header().Get("Change")})
	must.Eq(t, 2, parse(t, 200, p.write(t, "DELETE", "services/a", "1")).Version)
	gone := parse(t, 404, p.call(t.Context(), "GET", "/objects/services/a", ""))
	must.True(t, gone.Deleted)
	must.Eq(t, 2, gone.Version)
	must.True(t, parse(t, 409, p.write(t, "PUT", "services/a", "0")).Deleted, must.Sprint("a delayed create must not undo a deletion"))
	must.Eq(t, 3, parse(t, 200, p.write(t, "PUT", "services/a", "2")).Version)
	must.Len(t, 1, parse(t, 200, p.call(t.Context(), "GET", "/objects?prefix=services/", "")).Objects)
}

// Guards against writes that are accepted without what makes them safe.
func TestRejected(t *testing.T) {
	p := newBench()
	call := func(body string, header ...string) int {
		return p.call(t.Context(), "PUT", "/objects/a", body, header...).Code
	}
	must.Eq(t, 428, call("", "Author", "ada", "Change", "c"))
	must.Eq(t, 400, call("", "If-Version", "0", "Change", "c"))
	must.Eq(t, 400, call("", "If-Version", "0", "Author", "ada"))
	must.Eq(t, 400, call("", "If-Version", "x", "Author", "ada", "Change", "c"))
	must.Eq(t, 413, call(strings.Repeat("x", 1<<20+1), "If-Version", "0", "Author", "ada", "Change", "c"))
	must.Eq(t, 200, call(strings.Repeat("x", 1<<20), "If-Version", "0", "Author", "ada", "Change", "c"))
	must.Eq(t, 404, p.call(t.Context(), "POST", "/objects/a", "").Code)
}

// Guards against a watch that loses a change, answers for other objects or polls.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newBench()
		answers := make(chan *httptest.ResponseRecorder)
		go func() { answers <- p.call(t.Context(), "GET", "/watch?prefix=a/&after=0&wait=30s", "") }()
		synctest.Wait()
		p.write(t, "PUT", "b/1", "0")
		p.write(t, "PUT", "a/1", "0")
		n := parse(t, 200, <-answers)
		must.Len(t, 1, n.Objects)
		must.Eq(t, "a/1 value", string(n.Objects[0].Value))
		must.Eq(t, 2, n.Version)
		p.write(t, "PUT", "a/1", "2")
		p.write(t, "DELETE", "a/1", "3")
		n = parse(t, 200, p.call(t.Context(), "GET", "/watch?prefix=a/&after=2&wait=30s", ""))
		must.Len(t, 2, n.Objects)
		must.True(t, n.Objects[1].Deleted)

		began := time.Now()
		n = parse(t, 200, p.call(t.Context(), "GET", "/watch?prefix=a/&after=4&wait=30s", ""))
		must.SliceEmpty(t, n.Objects)
		must.Eq(t, 30*time.Second, time.Since(began))
		must.Eq(t, 3, p.calls(t).Watch)

		p.write(t, "PUT", "b/1", "1")
		must.Eq(t, 5, parse(t, 410, p.call(t.Context(), "GET", "/watch?after=1&wait=0s", "")).Version)
		must.Eq(t, 410, p.call(t.Context(), "GET", "/watch?after=9&wait=0s", "").Code)
		must.Eq(t, 400, p.call(t.Context(), "GET", "/watch?after=x&wait=0s", "").Code)
		must.Eq(t, 400, p.call(t.Context(), "GET", "/watch?after=0&wait=1h", "").Code)
	})
}

// Guards against an outage that lets calls through, and against a lost answer whose change is lost too.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newBench()
		set := func(faults string) parsed { return parse(t, 200, p.call(t.Context(), "POST", "/faults", faults)) }
		set(`{"loseAnswers":1}`)
		must.Nil(t, p.write(t, "PUT", "a", "0"))
		must.Eq(t, 200, p.call(t.Context(), "GET", "/objects/a", "").Code)
		must.Eq(t, 409, p.write(t, "PUT", "a", "0").Code)

		set(`{"outage":"refuse"}`)
		must.Nil(t, p.write(t, "PUT", "a", "1"))
		set(`{"outage":"fail"}`)
		parse(t, 503, p.write(t, "PUT", "a", "1"))
		set(`{"outage":"hang","outageMs":5000}`)
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		p.call(ctx, "GET", "/objects/a", "")
		must.Eq(t, time.Second, time.Since(began))
		must.Eq(t, 200, p.write(t, "PUT", "a", "1").Code)
		must.Eq(t, 5*time.Second, time.Since(began))
		set(`{"outage":"","delayMs":100}`)
		began = time.Now()
		must.Eq(t, 200, p.call(t.Context(), "GET", "/objects/a", "").Code)
		must.Eq(t, 100*time.Millisecond, time.Since(began))
		n := p.calls(t)
		must.Eq(t, []int{3, 5, 8}, []int{n.Get, n.Put, n.Total})
		for _, bad := range []string{`{"outage":"x"}`, `{"outageMs":1}`, `{"delayMs":-1}`, `{"loseAnswers":-1}`, `{"x":1}`} {
			must.Eq(t, 400, p.call(t.Context(), "POST", "/faults", bad).Code, must.Sprint(bad))
		}
		must.Eq(t, 200, p.call(t.Context(), "GET", "/dump", "").Code)
	})
}

// Guards against an outage that a waiting watch does not notice.
func TestWatchOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newBench()
		answers := make(chan *httptest.ResponseRecorder)
		go func() { answers <- p.call(t.Context(), "GET", "/watch?after=0&wait=30s", "") }()
		synctest.Wait()
		p.call(t.Context(), "POST", "/faults", `{"outage":"refuse"}`)
		must.Nil(t, <-answers)
	})
}

// Guards against a list of VMs without its lag.
func TestVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newBench()
		must.Eq(t, 200, p.call(t.Context(), "POST", "/vms", `{"vms":[{"name":"a","dc":"klm","state":"live"}]}`).Code)
		must.Eq(t, 400, p.call(t.Context(), "POST", "/vms", `{"vms":[{"name":"a","state":"x"}]}`).Code)
		n := parse(t, 200, p.call(t.Context(), "GET", "/vms", ""))
		must.SliceEmpty(t, n.VMs)
		p.call(t.Context(), "POST", "/faults", `{"staleVMs":true}`)
		time.Sleep(time.Minute)
		must.SliceEmpty(t, parse(t, 200, p.call(t.Context(), "GET", "/vms", "")).VMs)
		p.call(t.Context(), "POST", "/faults", `{"staleVMs":false}`)
		n = parse(t, 200, p.call(t.Context(), "GET", "/vms", ""))
		must.Eq(t, "klm", n.VMs[0].DC)
		must.Eq(t, 2, n.Version)
	})
}
