package boundedlog_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/boundedlog"
	"bramleystand.org/common/linebudget"
)

type logLine struct {
	Fields    map[string]any `json:"fields"`
	Level     string         `json:"level"`
	Timestamp time.Time      `json:"timestamp"`
	Message   string         `json:"message"`
}

func parseLines(t *testing.T, data []byte) []logLine {
	var out []logLine
	d := json.NewDecoder(bytes.NewReader(data))
	for {
		var e logLine
		err := d.Decode(&e)
		if errors.Is(err, io.EOF) {
			return out
		}
		must.NoError(t, err)
		out = append(out, e)
	}
}

// Guards against lines that are not valid JSON, and against text of unlimited length in a field.
func TestLineFormat(t *testing.T) {
	var out bytes.Buffer
	h := boundedlog.New(&out, linebudget.Limit{Lines: 10, Bytes: 1 << 16}, log.Fields{"name": "e1"})
	l := &log.Logger{Handler: h, Level: log.DebugLevel}
	l.WithError(errors.New("a \"quoted\"\nerror")).WithField("id", strings.Repeat("x", 10_000)).Warn("m")
	l.WithField("took", 7).Debug("d")
	must.NoError(t, h.Close(time.Now().Add(10*time.Second)))
	lines := parseLines(t, out.Bytes())
	must.Len(t, 2, lines)
	must.Eq(t, "warn", lines[0].Level)
	must.Eq(t, "e1", lines[0].Fields["name"])
	must.Eq(t, "a \"quoted\"\nerror", lines[0].Fields["error"])
	must.Eq(t, 403, len(lines[0].Fields["id"].(string)))
	must.Eq(t, 7.0, lines[1].Fields["took"])
	must.Less(t, time.Minute, time.Since(lines[1].Timestamp))
}

// Guards against lines that are left out without being counted.
func TestCounts(t *testing.T) {
	var out bytes.Buffer
	h := boundedlog.New(&out, linebudget.Limit{Lines: 20, Bytes: 1 << 20}, nil)
	l := &log.Logger{Handler: h, Level: log.DebugLevel}
	for range 500 {
		l.WithField("reason", "full").Info("request not served")
	}
	must.NoError(t, h.Close(time.Now().Add(10*time.Second)))
	lines := parseLines(t, out.Bytes())
	last := lines[len(lines)-1]
	must.Eq(t, "log lines left out", last.Message)
	must.Eq(t, "full", last.Fields["reason"])
	must.Eq(t, 500, float64(len(lines)-1)+last.Fields["lines"].(float64))
	must.Eq(t, map[string]int{"written": len(lines) - 1, "omitted": 501 - len(lines), "dropped": 0}, h.Counts())
}

// Guards against a stopped reader of the log that makes every request wait for its log line.
func TestStoppedReader(t *testing.T) {
	reader, out := io.Pipe()
	defer reader.Close()
	h := boundedlog.New(out, linebudget.Limit{Lines: 100_000, Bytes: 1 << 30}, nil)
	l := &log.Logger{Handler: h, Level: log.DebugLevel}
	start := time.Now()
	for range 20_000 {
		l.WithField("text", strings.Repeat("x", 100)).Info("m")
	}
	must.Less(t, 5*time.Second, time.Since(start))
	must.Greater(t, 0, h.Counts()["dropped"])
	must.Error(t, h.Close(time.Now()))
}

// Measures writing the log line of one request.
func BenchmarkLine(b *testing.B) {
	h := boundedlog.New(io.Discard, linebudget.Limit{Lines: 1 << 30, Bytes: 1 << 40}, log.Fields{"program": "entry", "name": "e1"})
	l := &log.Logger{Handler: h, Level: log.DebugLevel}
	for b.Loop() {
		l.WithFields(log.Fields{
			"id": "c0-000123-1", "route": "seat-desk/avail", "service": "seat-desk", "status": 200, "reason": "answered",
			"attempts": 1, "server": "seat-desk-17", "ms": 220, "wait": 12, "key": 4711, "table": 812, "version": 3,
		}).Debug("request served")
	}
}
