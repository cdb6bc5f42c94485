package linebudget_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bramleystand.org/common/linebudget"
)

var begin = time.Unix(1000, 0)

// Guards against a flood of one reason that hides a rare event, and against the lines of
// successes taking the place of failures.
func TestFlood(t *testing.T) {
	b := linebudget.New(linebudget.Limit{Lines: 100, Bytes: 1 << 20})
	served, refused := 0, 0
	for i := range 2000 {
		now := begin.Add(time.Duration(i) * 400 * time.Microsecond)
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
	must.True(t, b.Allow(begin.Add(900*time.Millisecond), linebudget.Line{Message: "store can't be read", Bytes: 100}))
	omitted := b.Omitted()
	must.Len(t, 2, omitted)
	must.Eq(t, linebudget.Omission{Message: "request not served", Reason: "full", Lines: 2000 - refused, Since: begin.Add(10 * time.Millisecond)}, omitted[0])
	must.Eq(t, 2000-served, omitted[1].Lines)
	must.Len(t, 0, b.Omitted())
}

// Guards against a budget that is not filled again, or that a clock set back keeps empty.
func TestWindow(t *testing.T) {
	b := linebudget.New(linebudget.Limit{Lines: 10, Bytes: 1 << 20})
	for _, now := range []time.Time{begin, begin.Add(time.Second), begin.Add(-time.Hour)} {
		written := 0
		for range 50 {
			if b.Allow(now, linebudget.Line{Message: "m", Bytes: 1}) {
				written++
			}
		}
		must.Eq(t, 10, written)
	}
}

// Guards against lines beyond the budget, whatever they are about, and against lines that are
// neither written nor counted.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := linebudget.Limit{Lines: rapid.IntRange(1, 200).Draw(t, "lines"), Bytes: rapid.IntRange(100, 20_000).Draw(t, "bytes")}
		b := linebudget.New(limit)
		reasons := rapid.IntRange(1, 300).Draw(t, "reasons")
		lines, bytes, all := 0, 0, rapid.IntRange(1, 3000).Draw(t, "all")
		const largest = 100
		for i := range all {
			l := linebudget.Line{Message: "m", Reason: fmt.Sprint(i % reasons), Bytes: 1 + i%largest, Ordinary: i%3 == 0}
			if b.Allow(begin, l) {
				lines++
				bytes += l.Bytes
			}
		}
		omitted := 0
		for _, o := range b.Omitted() {
			omitted += o.Lines
		}
		if lines+omitted != all {
			t.Fatalf("%d written and %d left out of %d", lines, omitted, all)
		}
		// The first three lines of each of 64 reasons come on top.
		if extra := 64 * 3; lines > limit.Lines+extra || bytes > limit.Bytes+extra*largest {
			t.Fatalf("%d lines and %d bytes written with a limit of %+v", lines, bytes, limit)
		}
	})
}
