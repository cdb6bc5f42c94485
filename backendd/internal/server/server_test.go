package server_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/backendd/internal/clock"
	"bramleystand.org/backendd/internal/fault"
	"bramleystand.org/backendd/internal/server"
	"bramleystand.org/backendd/internal/socket"
	"bramleystand.org/common/rank"
)

// testServer calls a server's handler without a network. In a synctest bubble, its
// time is the bubble's fake time.
type testServer struct {
	*server.Server
	address string
	clock   *clock.Clock
	crashed chan int
}

func newTestServer(t *testing.T, change func(*server.Config)) *testServer {
	t.Helper()
	l, err := socket.Listen(netip.MustParseAddrPort("127.0.0.1:0"), 4, 0)
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	c := server.Config{
		Name: "b1", Slots: 1, Fenced: true, Executions: 100,
		MeanServiceTimes: [rank.Count]time.Duration{time.Second, time.Millisecond, time.Second},
	}
	if change != nil {
		change(&c)
	}
	k := clock.New(time.Now())
	crashed := make(chan int, 1)
	ts := &testServer{address: l.Addr().String(), clock: k, crashed: crashed}
	ts.Server = server.New(c, l, fault.New(), k, func(code int) { crashed <- code; panic(http.ErrAbortHandler) })
	return ts
}

// request sends a request with headers like "Bramley-Fence: 7".
func (ts *testServer) request(t *testing.T, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	for _, l := range headers {
		name, value, _ := strings.Cut(l, ": ")
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler {
			panic(v)
		}
	}()
	ts.ServeHTTP(finalRecorder{w}, r)
	return w
}

// finalRecorder drops interim responses, because a ResponseRecorder takes the first of
// them for the final response.
type finalRecorder struct{ *httptest.ResponseRecorder }

func (f finalRecorder) WriteHeader(code int) {
	if code >= http.StatusOK {
		f.ResponseRecorder.WriteHeader(code)
	}
}

func (ts *testServer) grant(t *testing.T, sequence int, ahead time.Duration) {
	t.Helper()
	w := ts.request(t, "PUT", "/grant", fmt.Sprintf(`{"incarnation":%d,"fence":%d,"revision":1,"shards":[3],"until":%d}`,
		ts.clock.Incarnation(), sequence, ts.clock.Now()+ahead))
	must.Eq(t, 200, w.Code)
}

func (ts *testServer) results(t *testing.T) []string {
	t.Helper()
	var page struct {
		Executions []struct{ Result, Reason string }
	}
	must.NoError(t, json.Unmarshal(ts.request(t, "GET", "/executions", "").Body.Bytes(), &page))
	var list []string
	for _, e := range page.Executions {
		list = append(list, strings.TrimSpace(e.Result+" "+e.Reason))
	}
	return list
}

const (
	currentFence = "Bramley-Fence: 7"
	grantedShard = "Bramley-Shard: 3"
)

// Guards against requests that start although the grant, the deadline or a bad header
// forbids it, and against refusals that are not marked as not run.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		headers []string
		want    string
	}{
		"other fence":  {[]string{"Bramley-Fence: 6", grantedShard}, "refused other-fence"},
		"other shard":  {[]string{currentFence, "Bramley-Shard: 4"}, "refused shard-not-granted"},
		"start before": {[]string{currentFence, grantedShard, "Bramley-Start-Before: 1"}, "refused start-before-passed"},
		"deadline":     {[]string{currentFence, grantedShard, "Bramley-Timeout: 0"}, "refused deadline-passed"},
		"bad header":   {[]string{"Bramley-Fence: x"}, `refused server: Bramley-Fence: strconv.ParseUint: parsing "x": invalid syntax`},
		"bad rank":     {[]string{"Bramley-Rank: bulk"}, `refused server: Bramley-Rank: rank: "bulk" is unknown, allowed are confirmation, lookup and upload`},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := newTestServer(t, nil)
				ts.grant(t, 7, time.Second)
				w := ts.request(t, "GET", "/keys/a", "", append(c.headers, "Bramley-Exchange: 9")...)
				must.Eq(t, "not-run", w.Header().Get("Bramley-Outcome"))
				must.Eq(t, "9", w.Header().Get("Bramley-Exchange"))
				must.NotEq(t, "", w.Header().Get("Bramley-Clock"))
				must.Eq(t, []string{c.want}, ts.results(t))
			})
		})
	}
}

// Guards against a response that does not identify its request, and against keys with
// slashes or dots that the mux's path cleaning changes.
func TestResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestServer(t, nil)
		ts.grant(t, 7, time.Second)
		w := ts.request(t, "POST", "/keys/a%2Fb//..", "dossier", currentFence, grantedShard, "Bramley-Ticket: t1")
		must.Eq(t, 200, w.Code)
		var got struct {
			Server, Key, Operation, SHA256 string
			Length, Execution              int
		}
		must.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
		sum := sha256.Sum256([]byte("dossier"))
		must.Eq(t, "b1", got.Server)
		must.Eq(t, "a/b//..", got.Key)
		must.Eq(t, "t1", got.Operation)
		must.Eq(t, hex.EncodeToString(sum[:]), got.SHA256)
		must.Eq(t, 7, got.Length)
		must.Eq(t, 1, got.Execution)
		must.Eq(t, []string{"ran"}, ts.results(t))
	})
}

// Guards against a server that starts or completes a request after its grant expired
// during a freeze.
func TestFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestServer(t, func(c *server.Config) { c.MeanServiceTimes[rank.Confirmation] = 10 * time.Second })
		ts.grant(t, 7, time.Second)
		codes := make(chan int, 2)
		go func() {
			codes <- ts.request(t, "POST", "/keys/a", "", currentFence, grantedShard, "Bramley-Rank: confirmation").Code
		}()
		synctest.Wait()
		must.Eq(t, 200, ts.request(t, "POST", "/faults", `{"freezeMs":2000}`).Code)
		go func() { codes <- ts.request(t, "GET", "/keys/a", "", currentFence, grantedShard).Code }()
		must.MapContainsKeys(t, map[int]bool{<-codes: true, <-codes: true}, []int{409, 504})
		must.SliceContainsAll(t, []string{"refused expired", "aborted expired"}, ts.results(t))
	})
}

// Guards against a queue without bound. One request runs, four wait, and the sixth is
// refused.
func TestQueueLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestServer(t, func(c *server.Config) { c.Fenced = false })
		codes := make(chan int, 6)
		for range 5 {
			go func() { codes <- ts.request(t, "GET", "/keys/a", "", "Bramley-Rank: upload").Code }()
		}
		synctest.Wait()
		w := ts.request(t, "GET", "/keys/a", "")
		must.Eq(t, 503, w.Code)
		must.Eq(t, "not-run", w.Header().Get("Bramley-Outcome"))
		must.Eq(t, "1", w.Header().Get("Retry-After"))
		for range 5 {
			must.Eq(t, 200, <-codes)
		}
	})
}

// Guards against a drain that drops running requests or accepts new ones, and against
// distortions of health and load that have no effect.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestServer(t, func(c *server.Config) { c.Fenced = false })
		must.Eq(t, 200, ts.request(t, "POST", "/faults", `{"health":{"lagMs":60000,"false":""}}`).Code)
		code := make(chan int)
		go func() { code <- ts.request(t, "GET", "/keys/a", "", "Bramley-Rank: upload").Code }()
		synctest.Wait()
		must.Eq(t, 200, ts.request(t, "POST", "/drain", "").Code)
		must.Eq(t, 503, ts.request(t, "GET", "/keys/a", "").Code)
		must.Eq(t, 200, <-code)
		must.Eq(t, 200, ts.request(t, "GET", "/health", "").Code, must.Sprint("health lags"))
		ts.request(t, "POST", "/faults", `{"health":{"lagMs":0,"false":""},"load":{"lagMs":0,"false":"5"}}`)
		must.Eq(t, 503, ts.request(t, "GET", "/health", "").Code)
		must.StrContains(t, ts.request(t, "GET", "/load", "").Body.String(), `"running":5`)
	})
}

// Guards against an execution that goes on after its deadline.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestServer(t, func(c *server.Config) { c.Fenced = false; c.MeanServiceTimes[rank.Upload] = time.Hour })
		start := time.Now()
		w := ts.request(t, "GET", "/keys/a", "", "Bramley-Rank: upload", "Bramley-Timeout: 50")
		must.Eq(t, "unknown", w.Header().Get("Bramley-Outcome"))
		must.Eq(t, 50*time.Millisecond, time.Since(start))
		must.Eq(t, []string{"cancelled server: run: context deadline exceeded"}, ts.results(t))
	})
}

// Guards against a crash header that does nothing, or that works when it is disabled.
func TestCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestServer(t, func(c *server.Config) { c.Fenced = false })
		ts.request(t, "GET", "/keys/a", "", "Bramley-Crash: 1")
		must.Eq(t, 2, <-ts.crashed)
		ts.request(t, "POST", "/faults", `{"crash":false}`)
		must.Eq(t, 200, ts.request(t, "GET", "/keys/a", "", "Bramley-Crash: 1").Code)
	})
}

// Guards against invalid faults that are accepted and active faults that are not shown.
func TestFaults(t *testing.T) {
	ts := newTestServer(t, nil)
	for _, bad := range []string{`{"freeze":1}`, `{"slow":-1}`, `{"freezeMs":-2}`, `{"load":{"false":"x"}}`, `{`} {
		must.Eq(t, 400, ts.request(t, "POST", "/faults", bad).Code)
	}
	must.Eq(t, 200, ts.request(t, "POST", "/faults", `{"slow":3.5}`).Code)
	must.StrContains(t, ts.request(t, "GET", "/faults", "").Body.String(), `"slow":3.5`)
	must.StrContains(t, ts.request(t, "GET", "/dump", "").Body.String(), `"name":"b1"`)
}

// Guards against a refusal of connections that does not begin, or that does not end
// on request or after its time.
func TestRefuse(t *testing.T) {
	ts := newTestServer(t, nil)
	dial := func() error {
		c, err := net.Dial("tcp", ts.address)
		if err == nil {
			c.Close()
		}
		return err
	}
	for _, end := range []string{`{"refuseMs":0}`, `{"refuseMs":1}`} {
		must.NoError(t, dial())
		ts.request(t, "POST", "/faults", `{"refuseMs":-1}`)
		must.ErrorIs(t, dial(), syscall.ECONNREFUSED)
		ts.request(t, "POST", "/faults", end)
		for dial() != nil {
			runtime.Gosched()
		}
	}
}

// Guards against a truncated response that a caller takes for a whole one, and against
// truncation that goes on after the requested number of responses.
func TestTruncated(t *testing.T) {
	ts := newTestServer(t, func(c *server.Config) { c.Fenced = false })
	s := httptest.NewServer(ts)
	defer s.Close()
	ts.request(t, "POST", "/faults", `{"truncate":1}`)
	r, err := http.Get(s.URL + "/keys/a")
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, r.Body)
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	r, err = http.Post(s.URL+"/keys/a", "", bytes.NewReader(make([]byte, 1<<20)))
	must.NoError(t, err)
	body, err := io.ReadAll(r.Body)
	must.NoError(t, err)
	must.StrContains(t, string(body), `"length":1048576`)
}
