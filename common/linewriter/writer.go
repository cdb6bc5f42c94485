// Package linewriter writes lines to a file or pipe without blocking its callers.
//
// Lines are buffered in memory and written by a goroutine. When the reader of the file or pipe is
// slow or has stopped and the buffer is full, further lines are dropped and counted.
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

var errDeadline = eris.New("linewriter: not all lines were written before the deadline")

// batchDelay is how long lines are collected before they are written in one call, because each
// write wakes a thread and the reader. A delay of 50 ms makes no difference to a reader.
const batchDelay = 50 * time.Millisecond

// Writer writes lines in their order. It is safe for concurrent use.
type Writer struct {
	out        io.Writer
	maxPending int
	wake       chan struct{}
	// closing is closed by Close; done is closed when all lines are written.
	closing chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	pending []byte
	// spare is an empty buffer that becomes the next pending, or nil.
	spare   []byte
	closed  bool
	dropped int
	// err is the error of the latest failed write.
	err error
}

// New returns a writer that buffers up to maxPending bytes.
func New(out io.Writer, maxPending int) *Writer {
	w := &Writer{out: out, maxPending: maxPending, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers a line and reports whether it was accepted. A line that does not fit into the buffer
// or comes after Close is dropped.
func (w *Writer) Write(line []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > w.maxPending {
		w.dropped++
		return false
	}
	w.pending = append(w.pending, line...)
	w.signal()
	return true
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close waits until all lines are written, and returns an error if the deadline passes first.
// Otherwise it returns the error of the latest failed write, if any.
func (w *Writer) Close(deadline time.Time) error {
	w.mu.Lock()
	w.closed = true
	close(w.closing)
	w.signal()
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(time.Until(deadline)):
		return errDeadline
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// signal wakes the goroutine that writes. w.mu must be held.
func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes pending lines until the writer is closed and none are left.
func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		select {
		case <-w.closing:
		case <-time.After(batchDelay):
		}
		lines, closed := w.takePending()
		if len(lines) > 0 {
			_, err := w.out.Write(lines)
			w.recycle(lines, err)
		}
		if closed {
			return
		}
	}
}

// takePending returns the pending lines and replaces them by the spare buffer.
func (w *Writer) takePending() (lines []byte, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines, w.pending, w.spare = w.pending, w.spare, nil
	return lines, w.closed
}

// maxSpareBytes is the largest capacity of a buffer that is kept for reuse.
const maxSpareBytes = 64 << 10

// recycle keeps the buffer of written lines for reuse and stores the error of the write.
func (w *Writer) recycle(lines []byte, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.err = fmt.Errorf("linewriter: write: %w", err)
	}
	if cap(lines) <= maxSpareBytes && w.spare == nil {
		w.spare = lines[:0]
	}
}
