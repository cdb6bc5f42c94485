// Package linewriter writes lines to a file or pipe without making its callers wait.
//
// Lines wait in memory for a writer of their own. When its reader is slow or has stopped and the
// memory for waiting lines is used up, lines are dropped and counted.
//
// # Usage
//
//	w := linewriter.New(os.Stdout, 1<<20)
//	defer w.Close(time.Now().Add(time.Second))
//	w.Write(line)
package linewriter

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

var errSlow = eris.New("linewriter: the reader did not take all lines in time")

// gatherTime is how long lines are gathered before they are written: each write wakes a thread and
// its reader, and a reader does not miss a twentieth of a second.
const gatherTime = 50 * time.Millisecond

// Writer writes lines in their order. It is safe for concurrent use.
type Writer struct {
	out  io.Writer
	most int
	wake chan struct{}
	// closing is closed by Close, done when all lines are written.
	closing chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	pending []byte
	spare   []byte
	closed  bool
	dropped int
	err     error
}

// New returns a writer that keeps up to a number of bytes waiting.
func New(out io.Writer, most int) *Writer {
	w := &Writer{out: out, most: most, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line; it reports false if the line is dropped.
func (w *Writer) Write(line []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > w.most {
		w.dropped++
		return false
	}
	w.pending = append(w.pending, line...)
	w.signal()
	return true
}

// Dropped returns the number of lines that were dropped so far.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close waits until all lines are written, at the longest until a time. It returns the latest
// error of writing.
func (w *Writer) Close(until time.Time) error {
	w.mu.Lock()
	w.closed = true
	close(w.closing)
	w.signal()
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(time.Until(until)):
		return errSlow
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// signal wakes the writer. The mutex is held.
func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes until the writer is closed and nothing waits.
func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		select {
		case <-w.closing:
		case <-time.After(gatherTime):
		}
		lines, closed := w.take()
		if len(lines) > 0 {
			_, err := w.out.Write(lines)
			w.giveBack(lines, err)
		}
		if closed {
			return
		}
	}
}

// take returns the waiting lines.
func (w *Writer) take() (lines []byte, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines, w.pending, w.spare = w.pending, w.spare, nil
	return lines, w.closed
}

// largestSpare is the largest buffer that is kept for further lines.
const largestSpare = 64 << 10

// giveBack keeps a buffer for further lines.
func (w *Writer) giveBack(lines []byte, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.err = fmt.Errorf("linewriter: write: %w", err)
	}
	if cap(lines) <= largestSpare && w.spare == nil {
		w.spare = lines[:0]
	}
}
