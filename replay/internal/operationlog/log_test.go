package operationlog_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/operationlog"
)

// Guards against a field that is lost between writing and reading, so that the oracle
// misses violations.
func TestRoundTrip(t *testing.T) {
	sent := time.UnixMicro(1_700_000_000_000_001)
	want := []operation.Attempt{
		{
			Operation: "run-1", Number: 2, Service: "seat-desk", Key: "seat-1", Rank: rank.Upload, Ticket: "t1", Digest: "d",
			Entry: "127.0.0.1:1", Sent: sent, AnsweredAt: sent.Add(time.Millisecond), Answered: true, Outcome: outcome.NotRun,
			Status: 503, Server: "s1", Incarnation: 9, Execution: 4, AnswerError: "f", FailureReason: "p",
		},
		{Operation: "run-2", Number: 1, Service: "seat-desk", Key: "seat-1", Sent: sent},
	}
	var b bytes.Buffer
	log := operationlog.New(&b)
	for _, a := range want {
		log.Add(a)
	}
	must.NoError(t, log.Close())
	got, err := operationlog.Read(&b)
	must.NoError(t, err)
	must.Eq(t, want, got)
}

// Guards against a truncated or altered log that is verified as if it were complete.
func TestReadRejects(t *testing.T) {
	for _, text := range []string{
		`{"operation":"a","rank":"bulk"}`, `{"operation":"a","rank":"lookup","colour":1}`, `{"operation":"a","ra`,
	} {
		_, err := operationlog.Read(strings.NewReader(text))
		must.ErrorContains(t, err, "operationlog: line 1", must.Sprint(text))
	}
}
