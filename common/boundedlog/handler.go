// Package boundedlog writes log lines in JSON within a budget of lines and bytes a second, and
// never makes its callers wait for the reader of the log.
//
// A line of level debug is an ordinary success and left out first. The field "reason" tells
// apart the repeats of one message. Each second, the lines left out are counted in lines of
// their own.
//
// # Usage
//
//	h := boundedlog.New(os.Stdout, limit, log.Fields{"program": "entry", "name": "fukuoka-a-1"})
//	defer h.Close(time.Now().Add(time.Second))
//	logger := &log.Logger{Handler: h, Level: log.DebugLevel}
package boundedlog

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/apex/log"

	"bramleystand.org/common/linebudget"
	"bramleystand.org/common/linewriter"
)

const (
	// mostWaiting bounds the memory in bytes for lines that wait for their reader.
	mostWaiting = 1 << 20
	// countInterval is the time between two counts of the lines left out.
	countInterval = time.Second
	// reasonField tells apart the repeats of one message.
	reasonField = "reason"
)

// Handler implements log.Handler.
type Handler struct {
	writer *linewriter.Writer
	fields log.Fields
	stop   chan struct{}
	ended  sync.WaitGroup

	mu      sync.Mutex
	budget  *linebudget.Budget
	written int
	omitted int
	dropped int
}

// New returns a handler that adds fields to each line.
func New(out io.Writer, l linebudget.Limit, fields log.Fields) *Handler {
	h := &Handler{writer: linewriter.New(out, mostWaiting), fields: fields, stop: make(chan struct{}), budget: linebudget.New(l)}
	h.ended.Go(h.run)
	return h
}

// HandleLog implements log.Handler.
func (h *Handler) HandleLog(e *log.Entry) error {
	data, err := encode(e.Level, e.Timestamp, e.Message, h.fields, e.Fields)
	if err != nil {
		return err
	}
	reason, _ := e.Fields[reasonField].(string)
	l := linebudget.Line{Message: e.Message, Reason: reason, Bytes: len(data), Ordinary: e.Level == log.DebugLevel}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.budget.Allow(e.Timestamp, l) {
		h.omitted++
		return nil
	}
	h.written++
	h.writer.Write(data)
	return nil
}

// run counts the lines left out until the handler is closed.
func (h *Handler) run() {
	ticker := time.NewTicker(countInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.stop:
			return
		case now := <-ticker.C:
			h.count(now)
		}
	}
}

// count writes how many lines were left out or dropped. These lines are not part of the budget.
func (h *Handler) count(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.budget.Omitted() {
		h.note(now, "log lines left out", log.Fields{"of": o.Message, reasonField: o.Reason, "lines": o.Lines, "since": o.Since})
	}
	if n := h.writer.Dropped(); n > h.dropped {
		h.note(now, "log lines dropped, because their reader is slow", log.Fields{"lines": n - h.dropped})
		h.dropped = n
	}
}

// note writes a line about the log itself.
func (h *Handler) note(now time.Time, message string, fields log.Fields) {
	// Fields of these kinds can always be encoded.
	data, _ := encode(log.WarnLevel, now, message, h.fields, fields)
	h.writer.Write(data)
}

// Counts returns how many lines were written, left out and dropped so far.
func (h *Handler) Counts() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return map[string]int{"written": h.written, "omitted": h.omitted, "dropped": h.writer.Dropped()}
}

// Close writes the lines that wait, at the longest until a time.
func (h *Handler) Close(until time.Time) error {
	close(h.stop)
	h.ended.Wait()
	h.count(time.Now())
	if err := h.writer.Close(until); err != nil {
		return fmt.Errorf("boundedlog: %w", err)
	}
	return nil
}
