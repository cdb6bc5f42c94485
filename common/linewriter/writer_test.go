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

// Guards against lines that are lost or out of order although their reader keeps up.
func TestOrder(t *testing.T) {
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

// Guards against a reader that has stopped making callers wait, and against memory without bound.
func TestStoppedReader(t *testing.T) {
	reader, out := io.Pipe()
	defer reader.Close()
	w := linewriter.New(out, 1000)
	line := []byte(strings.Repeat("x", 99) + "\n")
	written := 0
	for range 500 {
		if w.Write(line) {
			written++
		}
	}
	must.LessEq(t, 20, written)
	must.Eq(t, 500-written, w.Dropped())
	must.Error(t, w.Close(time.Now()))
}

type failing struct{}

func (failing) Write([]byte) (int, error) { return 0, errors.New("no space") }

// Guards against errors of the output that nobody hears of.
func TestError(t *testing.T) {
	w := linewriter.New(failing{}, 1000)
	must.True(t, w.Write([]byte("x\n")))
	must.ErrorContains(t, w.Close(time.Now().Add(10*time.Second)), "no space")
}
