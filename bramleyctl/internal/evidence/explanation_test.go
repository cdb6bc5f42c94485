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

// logLine returns a log line of a process at a time in ms, with further fields as JSON members.
func logLine(ms int, name, message, fields string) string {
	at := time.UnixMilli(1_800_000_000_000 + int64(ms)).UTC().Format(time.RFC3339Nano)
	return fmt.Sprintf(`{"fields":{"name":%q,%s},"level":"info","timestamp":%q,"message":%q}`, name, fields, at, message)
}

// parseLines parses log lines and sorts them by the reference clock.
func parseLines(t *testing.T, lines ...string) []logline.Line {
	parsed, skipped, err := logline.Read(strings.NewReader(strings.Join(lines, "\n")))
	must.NoError(t, err)
	must.Eq(t, 0, skipped)
	return logline.Order(parsed)
}

// failedRequest returns the line of request "x", which failed at 10 s after 500 ms.
func failedRequest(reason, fields string) string {
	return logLine(10_000, "e1", "request not served", fmt.Sprintf(`"id":"x","service":"desk","key":50,"reason":%q,"ms":500,%s`, reason, fields))
}

// Guards against naming a cause that the lines do not show, and against missing one that they show.
func TestExplain(t *testing.T) {
	keysMoving := logLine(9_000, "e2", "keys moving", `"service":"desk","first":40,"last":60,"server":"b","from":"a","reason":"owner does not answer","term":3`)
	otherRange := logLine(9_000, "e2", "keys moving", `"service":"desk","first":51,"last":60,"server":"b","from":"a","reason":"load","term":3`)
	orderFailed := logLine(9_500, "e2", "order failed", `"service":"desk","first":0,"last":99,"server":"a","reason":"grant","error":"i/o timeout"`)
	servedByA := logLine(9_900, "e3", "request served", `"id":"y","service":"desk","server":"a","ms":20`)
	noSlotAtA := logLine(9_900, "e3", "request not served", `"id":"z","service":"desk","chosen":"a","reason":"full","ms":5`)
	for _, c := range []struct {
		name  string
		lines []string
		cause string
		found bool
	}{
		{"no slot in time", []string{failedRequest("full", `"chosen":"a"`), noSlotAtA, servedByA}, "no slot of a in time, after 500 ms; within 1s around it 1 other requests of desk found no slot, 1 of them at the same server, and 1 were served", true},
		{"held off", []string{failedRequest("held off", `"chosen":"a","retry":2400`)}, "a took no requests from e1, as it had stated with a Retry-After; the client was told to try again after 2400 ms", true},
		{"all servers leave", []string{failedRequest("servers leave", `"attempts":0`)}, "all registered servers of desk leave; none could take key 50", true},
		{"over the limit of its server", []string{failedRequest("over limit", `"chosen":"a","rate":2.8,"heard":40`), keysMoving}, "a takes 2.8 requests a second from all processes together, as it had named 40 ms before, and had got as many", true},
		{"given up at the end of its process", []string{failedRequest("given up", `"server":"a","attempts":1`)}, "its process ended before the answer came; server a had it (waited 0 ms for a slot); it may have run", true},
		{"key is moving", []string{failedRequest("no owner", `"attempts":0`), keysMoving, otherRange}, "coordinator e2 (term 3) began to move keys 40 to 60 of desk from a to b, because: owner does not answer", true},
		{"owner lost, not yet moved", []string{failedRequest("no owner", `"attempts":0`), orderFailed}, "could not give an order (grant) to a: i/o timeout", true},
		{"no coordinator", []string{failedRequest("no owner", `"attempts":0`), logLine(8_000, "e4", "store can't be read", `"error":"refused"`)}, "e4: store can't be read (refused)", true},
		{"no evidence", []string{failedRequest("no owner", `"attempts":0`), otherRange}, "no line says why", false},
		{"partition", []string{failedRequest("unreachable", `"chosen":"a","error":"timeout"`), servedByA}, "e3 reaches it: a partition between e1 and the server", true},
		{"server down", []string{failedRequest("unreachable", `"chosen":"a","error":"timeout"`), orderFailed}, "it is down or cut off", true},
		{"cut off, given up", []string{failedRequest("cut off", `"server":"a","attempts":1`)}, "e1 found that it reaches no server of desk, and gave up waiting for a; it may have run", true},
		{"cut off, like the last peer", []string{failedRequest("cut off", `"peer":"e2","attempts":0`)}, "e1 and e2, the last process asked, reach no server of desk", true},
		{"peer lost", []string{failedRequest("peer lost", `"peer":"e2","attempts":1,"error":"silent"`)}, "e1 sent it through e2, which was lost before the answer (silent); it may have run", true},
		{"no memory at the peer", []string{failedRequest("relay full", `"peer":"e2","attempts":0`)}, "e1 does not reach the server, and e2 had no memory", true},
		{"not run by server", []string{failedRequest("not run by server", `"server":"a"`), keysMoving}, "its key was on the move", true},
		{"no usable answer", []string{failedRequest("no usable answer", `"server":"a","attempts":1,"error":"EOF"`)}, "a had the request and gave no usable answer (EOF); it may have run", true},
		{"deadline passed at the server", []string{failedRequest("late", `"server":"a","attempts":1,"limit":500,"wait":30`)}, "server a had it (waited 30 ms for a slot); it may have run", true},
		{"deadline passed in the queue", []string{failedRequest("late", `"attempts":0,"limit":500,"wait":480,"chosen":"a"`), noSlotAtA}, "it waited 480 ms for a slot and was given to no server", true},
		{"refused by the entry process", []string{logLine(10_000, "e1", "request refused", `"id":"x","reason":"no route","status":404`)}, "refused by e1 before it was given to a server: no route", true},
		{"served after a wait for a slot", []string{logLine(10_000, "e1", "request served", `"id":"x","service":"desk","server":"a","status":200,"ms":900,"wait":800`)}, "of which 800 ms were spent waiting for a slot", true},
		{"served after its key moved", []string{logLine(10_000, "e1", "request served", `"id":"x","service":"desk","key":50,"server":"b","status":200,"ms":900,"wait":0,"held":600`), keysMoving}, "600 ms waiting for an owner of the key; at ", true},
		{"lines left out of the log", []string{logLine(10_000, "e1", "log lines left out", `"lines":7`)}, "no line has this identifier; 7 lines were left out", false},
		{"no line of the request", []string{servedByA}, "did not reach a process whose log was given", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := evidence.Explain(parseLines(t, c.lines...), "x")
			must.StrContains(t, e.Cause, c.cause)
			must.Eq(t, c.found, e.Found)
		})
	}
}

// Guards against naming a server that has lost the key since, or one that owns another range.
func TestOwner(t *testing.T) {
	lines := parseLines(t,
		logLine(1_000, "e1", "keys granted", `"service":"desk","first":0,"last":99,"server":"a","fence":"3.1","term":3`),
		logLine(2_000, "e1", "keys moving", `"service":"desk","first":40,"last":60,"server":"b","from":"a","reason":"load","term":3`),
		logLine(2_100, "e1", "keys released", `"service":"desk","first":40,"last":60,"server":"a","fence":"3.1","term":3`),
		logLine(2_200, "e1", "keys granted", `"service":"desk","first":40,"last":60,"server":"b","fence":"3.2","term":3`),
		logLine(2_300, "e1", "keys granted", `"service":"other","first":40,"last":60,"server":"c","fence":"3.2","term":3`),
	)
	for ms, want := range map[int64]string{500: "", 1_500: "a", 2_050: "a", 2_150: "", 2_500: "b"} {
		owner, _ := evidence.Owner(lines, "desk", 50, time.UnixMilli(1_800_000_000_000+ms))
		must.Eq(t, want, owner)
		owner, _ = evidence.Owner(lines, "desk", 10, time.UnixMilli(1_800_000_000_000+max(ms, 1_500)))
		must.Eq(t, "a", owner)
	}
	must.Len(t, 4, evidence.History(lines, "desk", 50, time.UnixMilli(1_800_000_010_000)))
}
