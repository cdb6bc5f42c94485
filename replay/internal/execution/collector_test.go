package execution_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/replay/internal/execution"
)

// fakeServer answers each request with the page for its incarnation and its "after"
// parameter, or with an empty page.
type fakeServer struct {
	incarnation int
	pages       map[string]string
}

// RoundTrip implements http.RoundTripper.
func (f *fakeServer) RoundTrip(r *http.Request) (*http.Response, error) {
	page := f.pages[fmt.Sprintf("%d/%s", f.incarnation, r.URL.Query().Get("after"))]
	text := fmt.Sprintf(`{"server":"s1","incarnation":%d,"dropped":0,"executions":[%s]}`, f.incarnation, page)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text))}, nil
}

func record(sequence int, operation, result string) string {
	return fmt.Sprintf(`{"sequence":%d,"key":"k","operation":"%s","fence":9,"started":5,"ended":7,"result":"%s"}`, sequence, operation, result)
}

// Guards against executions that are read twice or skipped, against cancelled ones that
// count as run, and against a restart that goes unnoticed.
func TestCollect(t *testing.T) {
	f := &fakeServer{incarnation: 1, pages: map[string]string{
		"1/0": record(1, "a/1", "ran") + "," + record(2, "b/2", "cancelled"),
		"1/2": record(3, "c", "ran"),
		"2/0": record(1, "d/1", "ran"),
	}}
	c := execution.NewCollector(&http.Client{Transport: f}, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")})
	must.NoError(t, c.Collect(t.Context()))
	must.NoError(t, c.Collect(t.Context()))
	got := c.Executions()
	must.Len(t, 3, got)
	must.Eq(t, 1, got[0].Attempt)
	must.True(t, got[0].Ran)
	must.False(t, got[1].Ran)
	must.Eq(t, "c", got[2].Operation)
	must.MapEmpty(t, c.Incomplete())

	// After a restart the sequence numbers start again, and the end of the previous log is lost.
	f.incarnation = 2
	must.NoError(t, c.Collect(t.Context()))
	must.Len(t, 4, c.Executions())
	must.MapContainsKey(t, c.Incomplete(), "s1")
}
