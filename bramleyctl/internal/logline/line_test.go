package logline_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/bramleyctl/internal/logline"
)

// Guards against losing lines that a system journal has prefixed, and against a damaged line
// ending the read: the input mixes both with an empty line and lines of other programs.
func TestRead(t *testing.T) {
	lines, skipped, err := logline.Read(strings.NewReader(`12.1 edge-a {"fields":{"name":"a","key":7,"id":"x"},"level":"info","timestamp":"2026-12-04T08:00:00.5Z","message":"m"}

panic: no line of ours
{"fields":{"name":"a"},"level":"info","timestamp":"2026-12-04T08:00:00Z","mess
{"other":1}
{"fields":{},"timestamp":"2026-12-04T08:00:01Z","message":"n"}`))
	must.NoError(t, err)
	must.Eq(t, 3, skipped)
	must.Len(t, 2, lines)
	must.Eq(t, "a", lines[0].Process)
	must.Eq(t, "x", lines[0].Text("id"))
	key, ok := lines[0].Number("key")
	must.True(t, ok)
	must.Eq(t, 7, key)
	must.Eq(t, "n", lines[1].Message)
}

// Guards against sorting by the VMs' own clocks when these differ: b's clock is 2 s ahead of a's,
// and c's is 1 s behind b's.
func TestOrder(t *testing.T) {
	lines, _, err := logline.Read(strings.NewReader(`
{"fields":{"name":"b","coordinator":"a","ahead":2000},"timestamp":"2026-12-04T08:00:02Z","message":"clock compared"}
{"fields":{"name":"d","coordinator":"a","ahead":0},"timestamp":"2026-12-04T08:00:00.1Z","message":"clock compared"}
{"fields":{"name":"c","coordinator":"b","ahead":-1000},"timestamp":"2026-12-04T08:00:01.2Z","message":"clock compared"}
{"fields":{"name":"b"},"timestamp":"2026-12-04T08:00:02.3Z","message":"first"}
{"fields":{"name":"a"},"timestamp":"2026-12-04T08:00:00.4Z","message":"second"}
{"fields":{"name":"c"},"timestamp":"2026-12-04T08:00:01.5Z","message":"third"}
{"fields":{"name":"e"},"timestamp":"2026-12-04T08:00:00.6Z","message":"unknown clock"}`))
	must.NoError(t, err)
	ordered := logline.Order(lines)
	var messages []string
	for _, l := range ordered[3:] {
		messages = append(messages, l.Message)
	}
	must.Eq(t, []string{"first", "second", "third", "unknown clock"}, messages)
	must.Eq(t, time.Second, ordered[5].ClockAhead)
}
