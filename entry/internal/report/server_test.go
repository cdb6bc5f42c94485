package report_test

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
	"storj.io/drpc"

	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/report"
)

// failingHandler panics in reports.
type failingHandler struct{}

func (failingHandler) Report(time.Time, report.Report) report.Response { panic("unexpected") }
func (failingHandler) Snapshot(time.Time, struct{}) []report.Object {
	return []report.Object{{Name: "served"}}
}

func (failingHandler) StepDown(time.Time, report.StepDown) report.StepDownResponse {
	return report.StepDownResponse{}
}

func (failingHandler) Follow(context.Context, report.FollowRequest, func(report.Update) error) error {
	return nil
}
func (failingHandler) HandleRPC(drpc.Stream, string) error { return nil }

// cutOffHandler answers a report with the name of its sender if it is cut off.
type cutOffHandler struct{ failingHandler }

func (cutOffHandler) Report(_ time.Time, r report.Report) report.Response {
	if !r.CutOff {
		return report.Response{}
	}
	return report.Response{Roster: &report.Roster{CutOff: []string{r.From.Name}}}
}

// Guards against members that don't learn which of them reach no server.
func TestCutOffIsReported(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := report.NewServer(cutOffHandler{}, failingHandler{}, &log.Logger{Handler: discard.New()})
	go func() { _ = server.Serve(t.Context(), l) }()
	client := report.NewClient(&net.Dialer{})
	defer client.Close()
	to := netip.MustParseAddrPort(l.Addr().String())
	for _, cutOff := range []bool{true, false} {
		response, err := client.Report(t.Context(), to, report.Report{From: election.Member{Name: "a"}, CutOff: cutOff})
		must.NoError(t, err)
		must.Eq(t, cutOff, response.Roster != nil && slices.Equal(response.Roster.CutOff, []string{"a"}))
	}
}

// Guards against a panic in the call of one process that ends the process which handles it.
func TestPanicEndsOnlyTheCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := report.NewServer(failingHandler{}, failingHandler{}, &log.Logger{Handler: discard.New()})
	go func() { _ = server.Serve(t.Context(), l) }()
	client := report.NewClient(&net.Dialer{})
	defer client.Close()
	to := netip.MustParseAddrPort(l.Addr().String())
	_, err = client.Report(t.Context(), to, report.Report{})
	must.ErrorContains(t, err, "panic in method")
	objects, err := client.Snapshot(t.Context(), to)
	must.NoError(t, err)
	must.Len(t, 1, objects)
}
