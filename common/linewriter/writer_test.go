package linewriter_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/linewriter"
)

// Guards against lines that are lost or out of order although the buffer never fills up, and
// against lines accepted after Close.
func TestLineOrder(t *testing.T) {
	var out bytes.Buffer
	w := linewriter.New(&out, 1<<20)
	var want strings.Builder
	for i := range 1000 {
		line := strings.Repeat("x", i%50) + "\n"
		want.WriteString(line)
		must.True(t, w.Write([]byte(line)))
	}
	must.NoError(t, w.Close(time.Now().Add(10*time.Second)))
	must.Eq(t, want.String(), out.String())
	must.False(t, w.Write([]byte("late\n")))
}

// Guards against a stopped reader that blocks the callers, and against a buffer without bound.
func TestStoppedReader(t *testing.T) {
	reader, out := io.Pipe()
	defer reader.Close()
	w := linewriter.New(out, 1000)
	line := []byte(strings.Repeat("x", 99) + "\n")
	accepted := 0
	for range 500 {
		if w.Write(line) {
			accepted++
		}
	}
	must.LessEq(t, 20, accepted)
	must.Eq(t, 500-accepted, w.Dropped())
	must.Error(t, w.Close(time.Now()))
}

type failingOutput struct{}

func (failingOutput) Write([]byte) (int, error) { return 0, errors.New("no space") }

// Guards against write errors of the output that are never reported.
func TestWriteError(t *testing.T) {
	w := linewriter.New(failingOutput{}, 1000)
	must.True(t, w.Write([]byte("x\n")))
	must.ErrorContains(t, w.Close(time.Now().Add(10*time.Second)), "no space")
}
