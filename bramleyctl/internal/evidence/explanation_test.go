package evidence_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/bramleyctl/internal/evidence"
	"bramleystand.org/bramleyctl/internal/logline"
)

// line returns a log line at a time in ms, with fields as JSON members.
func line(ms int, name, message, fields string) string {
	at := time.UnixMilli(1_800_000_000_000 + int64(ms)).UTC().Format(time.RFC3339Nano)
	return fmt.Sprintf(`{"fields":{"name":%q,%s},"level":"info","timestamp":%q,"message":%q}`, name, fields, at, message)
}

func read(t *testing.T, lines ...string) []logline.Line {
	out, skipped, err := logline.Read(strings.NewReader(strings.Join(lines, "\n")))
	must.NoError(t, err)
	must.Eq(t, 0, skipped)
	return logline.Order(out)
}

// failed returns the line of request "x" that ended at 10 s after 500 ms.
func failed(reason, fields string) string {
	return line(10_000, "e1", "request not served", fmt.Sprintf(`"id":"x","service":"desk","key":50,"reason":%q,"ms":500,%s`, reason, fields))
}

// Guards against a cause that the lines do not show, and against one that they show being missed.
func TestExplain(t *testing.T) {
	moving := line(9_000, "e2", "keys moving", `"service":"desk","first":40,"last":60,"server":"b","from":"a","reason":"owner does not answer","term":3`)
	elsewhere := line(9_000, "e2", "keys moving", `"service":"desk","first":51,"last":60,"server":"b","from":"a","reason":"load","term":3`)
	order := line(9_500, "e2", "order failed", `"service":"desk","first":0,"last":99,"server":"a","reason":"grant","error":"i/o timeout"`)
	reached := line(9_900, "e3", "request served", `"id":"y","service":"desk","server":"a","ms":20`)
	full := line(9_900, "e3", "request not served", `"id":"z","service":"desk","chosen":"a","reason":"full","ms":5`)
	for _, c := range []struct {
		name  string
		lines []string
		cause string
		found bool
	}{
		{"full", []string{failed("full", `"chosen":"a"`), full, reached}, "no slot of a in time, after 500 ms; within 1s around it 1 other requests of desk found no slot, 1 of them at the same server, and 1 were served", true},
		{"key moves", []string{failed("no owner", `"attempts":0`), moving, elsewhere}, "coordinator e2 (term 3) began to move keys 40 to 60 of desk from a to b, because: owner does not answer", true},
		{"owner lost, not yet moved", []string{failed("no owner", `"attempts":0`), order}, "could not give an order (grant) to a: i/o timeout", true},
		{"no coordinator", []string{failed("no owner", `"attempts":0`), line(8_000, "e4", "store can't be read", `"error":"refused"`)}, "e4: store can't be read (refused)", true},
		{"no evidence", []string{failed("no owner", `"attempts":0`), elsewhere}, "no line says why", false},
		{"partition", []string{failed("unreachable", `"chosen":"a","error":"timeout"`), reached}, "e3 reaches it: a partition between e1 and the server", true},
		{"down", []string{failed("unreachable", `"chosen":"a","error":"timeout"`), order}, "it is down or cut off", true},
		{"server's refusal", []string{failed("not run by server", `"server":"a"`), moving}, "its key was on the move", true},
		{"broken", []string{failed("no usable answer", `"server":"a","attempts":1,"error":"EOF"`)}, "a had the request and gave no usable answer (EOF); it may have run", true},
		{"late at the server", []string{failed("late", `"server":"a","attempts":1,"limit":500,"wait":30`)}, "server a had it (waited 30 ms for a slot); it may have run", true},
		{"late in the queue", []string{failed("late", `"attempts":0,"limit":500,"wait":480,"chosen":"a"`), full}, "it waited 480 ms for a slot and was given to no server", true},
		{"refused", []string{line(10_000, "e1", "request refused", `"id":"x","reason":"no route","status":404`)}, "refused by e1 before it was given to a server: no route", true},
		{"slow", []string{line(10_000, "e1", "request served", `"id":"x","service":"desk","server":"a","status":200,"ms":900,"wait":800`)}, "of which 800 ms were spent waiting for a slot", true},
		{"slow, key moved", []string{line(10_000, "e1", "request served", `"id":"x","service":"desk","key":50,"server":"b","status":200,"ms":900,"wait":0,"held":600`), moving}, "600 ms waiting for an owner of the key; at ", true},
		{"left out", []string{line(10_000, "e1", "log lines left out", `"lines":7`)}, "no line has this identifier; 7 lines were left out", false},
		{"no line", []string{reached}, "did not reach a process whose log was given", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := evidence.Explain(read(t, c.lines...), "x")
			must.StrContains(t, e.Cause, c.cause)
			must.Eq(t, c.found, e.Found)
		})
	}
}

// Guards against an owner that lost the key since, or of a range beside it.
func TestOwner(t *testing.T) {
	lines := read(t,
		line(1_000, "e1", "keys granted", `"service":"desk","first":0,"last":99,"server":"a","fence":"3.1","term":3`),
		line(2_000, "e1", "keys moving", `"service":"desk","first":40,"last":60,"server":"b","from":"a","reason":"load","term":3`),
		line(2_100, "e1", "keys released", `"service":"desk","first":40,"last":60,"server":"a","fence":"3.1","term":3`),
		line(2_200, "e1", "keys granted", `"service":"desk","first":40,"last":60,"server":"b","fence":"3.2","term":3`),
		line(2_300, "e1", "keys granted", `"service":"other","first":40,"last":60,"server":"c","fence":"3.2","term":3`),
	)
	for ms, want := range map[int64]string{500: "", 1_500: "a", 2_050: "a", 2_150: "", 2_500: "b"} {
		owner, _ := evidence.Owner(lines, "desk", 50, time.UnixMilli(1_800_000_000_000+ms))
		must.Eq(t, want, owner)
		owner, _ = evidence.Owner(lines, "desk", 10, time.UnixMilli(1_800_000_000_000+max(ms, 1_500)))
		must.Eq(t, "a", owner)
	}
	must.Len(t, 4, evidence.History(lines, "desk", 50, time.UnixMilli(1_800_000_010_000)))
}
