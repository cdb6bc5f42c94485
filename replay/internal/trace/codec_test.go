package trace_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/rank"
	"bramleystand.org/replay/internal/trace"
)

const header = `{"deployment":"kerala","day":"week","seed":7,"expect":[` +
	`{"rank":"confirmation","share":99.9,"target":1000,"timeout":5000},` +
	`{"rank":"lookup","share":99,"target":300,"timeout":3000},` +
	`{"rank":"upload","share":99,"target":30000,"timeout":60000,"lossless":true}]}` + "\n"

// Guards against fields that are lost or change their unit between writing and reading.
func TestRoundTrip(t *testing.T) {
	want, err := trace.Read(strings.NewReader(header))
	must.NoError(t, err)
	must.Eq(t, time.Second, want.Objectives[rank.Confirmation].Target)
	must.True(t, want.Objectives[rank.Upload].Lossless)
	want.Requests = []trace.Request{
		{Arrival: 1500 * time.Microsecond, Service: "seat-desk", Key: "seat-1", Rank: rank.Lookup, Target: 300 * time.Millisecond},
		{Arrival: time.Second, Service: "log-store", Key: "log-9", Rank: rank.Upload, Size: 1 << 20, Target: 30 * time.Second},
	}
	var b bytes.Buffer
	must.NoError(t, trace.Write(&b, want))
	got, err := trace.Read(&b)
	must.NoError(t, err)
	must.Eq(t, want, got)
}

// Guards against a damaged trace that is replayed as if it were a shorter one.
func TestReadRejects(t *testing.T) {
	cases := map[string]string{
		"unknown field":           header + `{"at":1,"service":"s","key":"k","rank":"lookup","target":1,"colour":"red"}`,
		"unknown rank":            header + `{"at":1,"service":"s","key":"k","rank":"bulk","target":1}`,
		"no key":                  header + `{"at":1,"service":"s","rank":"lookup","target":1}`,
		"truncated line":          header + `{"at":1,"service":"s","ke`,
		"not in order of arrival": header + `{"at":2,"service":"s","key":"k","rank":"lookup","target":1}` + "\n" + `{"at":1,"service":"s","key":"k","rank":"lookup","target":1}`,
		"no objectives":           `{"deployment":"kerala","day":"week","seed":7,"expect":[]}`,
	}
	for name, text := range cases {
		_, err := trace.Read(strings.NewReader(text))
		must.Error(t, err, must.Sprint(name))
		must.ErrorContains(t, err, "trace: line")
	}
}

// Guards against a change of the format that makes the recorded traces unreadable or
// writes them differently.
func TestRecorded(t *testing.T) {
	paths, err := filepath.Glob("../../traces/*.jsonl")
	must.NoError(t, err)
	must.Len(t, 2, paths)
	for _, p := range paths {
		content, err := os.ReadFile(p)
		must.NoError(t, err)
		recorded, err := trace.Read(bytes.NewReader(content))
		must.NoError(t, err)
		var again bytes.Buffer
		must.NoError(t, trace.Write(&again, recorded))
		must.True(t, bytes.Equal(content, again.Bytes()))
	}
}
