package linebudget_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bramleystand.org/common/linebudget"
)

var start = time.Unix(1000, 0)

// Guards against a flood of lines of one reason that hides a rare event, and against lines about
// successes that displace lines about failures.
func TestFlood(t *testing.T) {
	b := linebudget.New(linebudget.Limit{Lines: 100, Bytes: 1 << 20})
	served, refused := 0, 0
	for i := range 2000 {
		now := start.Add(time.Duration(i) * 400 * time.Microsecond)
		if b.Allow(now, linebudget.Line{Message: "request served", Bytes: 100, Ordinary: true}) {
			served++
		}
		if b.Allow(now, linebudget.Line{Message: "request not served", Reason: "full", Bytes: 100}) {
			refused++
		}
	}
	must.LessEq(t, 50, served)
	must.Greater(t, 49, refused)
	must.Eq(t, 100, served+refused)
	must.True(t, b.Allow(start.Add(900*time.Millisecond), linebudget.Line{Message: "store can't be read", Bytes: 100}))
	omitted := b.Omitted()
	must.Len(t, 2, omitted)
	must.Eq(t, linebudget.Omission{Message: "request not served", Reason: "full", Lines: 2000 - refused, Since: start.Add(10 * time.Millisecond)}, omitted[0])
	must.Eq(t, 2000-served, omitted[1].Lines)
	must.Len(t, 0, b.Omitted())
}

// Guards against a budget that is not refilled after a second, or not after the clock is set back.
func TestWindow(t *testing.T) {
	b := linebudget.New(linebudget.Limit{Lines: 10, Bytes: 1 << 20})
	for _, now := range []time.Time{start, start.Add(time.Second), start.Add(-time.Hour)} {
		written := 0
		for range 50 {
			if b.Allow(now, linebudget.Line{Message: "m", Bytes: 1}) {
				written++
			}
		}
		must.Eq(t, 10, written)
	}
}

// Guards against lines beyond the budget for any mix of reasons, and against lines that are neither
// written nor counted.
func TestLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := linebudget.Limit{Lines: rapid.IntRange(1, 200).Draw(t, "lines"), Bytes: rapid.IntRange(100, 20_000).Draw(t, "bytes")}
		b := linebudget.New(limit)
		reasons := rapid.IntRange(1, 300).Draw(t, "reasons")
		lines, bytes, total := 0, 0, rapid.IntRange(1, 3000).Draw(t, "all")
		const maxLineBytes = 100
		for i := range total {
			l := linebudget.Line{Message: "m", Reason: fmt.Sprint(i % reasons), Bytes: 1 + i%maxLineBytes, Ordinary: i%3 == 0}
			if b.Allow(start, l) {
				lines++
				bytes += l.Bytes
			}
		}
		omitted := 0
		for _, o := range b.Omitted() {
			omitted += o.Lines
		}
		if lines+omitted != total {
			t.Fatalf("%d written and %d left out of %d", lines, omitted, total)
		}
		// The first three lines of each of 64 topics are written beyond the limit.
		if extra := 64 * 3; lines > limit.Lines+extra || bytes > limit.Bytes+extra*maxLineBytes {
			t.Fatalf("%d lines and %d bytes written with a limit of %+v", lines, bytes, limit)
		}
	})
}
