// Package boundedlog writes log lines in JSON within a budget of lines and bytes per second, and
// never blocks its callers on the reader of the log.
//
// Lines of level debug report ordinary successes and are left out first. Lines with the same
// message but another value of the field "reason" are counted separately. Each second, the
// handler logs how many lines were left out.
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
	// maxPending bounds the memory in bytes for lines that are not yet written.
	maxPending = 1 << 20
	// reportInterval is the time between two reports of the lines left out.
	reportInterval = time.Second
	// reasonField is the log field that distinguishes lines with the same message.
	reasonField = "reason"
)

// Handler implements log.Handler.
type Handler struct {
	writer *linewriter.Writer
	fields log.Fields
	stop   chan struct{}
	done   sync.WaitGroup

	mu      sync.Mutex
	budget  *linebudget.Budget
	written int
	omitted int
	// dropped is the number of dropped lines that were reported.
	dropped int
}

// New returns a handler that writes to out within a limit and adds fields to each line.
func New(out io.Writer, l linebudget.Limit, fields log.Fields) *Handler {
	h := &Handler{writer: linewriter.New(out, maxPending), fields: fields, stop: make(chan struct{}), budget: linebudget.New(l)}
	h.done.Go(h.run)
	return h
}

// HandleLog writes an entry, or counts it as left out if the budget is used up.
func (h *Handler) HandleLog(e *log.Entry) error {
	data, err := encodeLine(e.Level, e.Timestamp, e.Message, h.fields, e.Fields)
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

// run reports the lines left out until the handler is closed.
func (h *Handler) run() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.stop:
			return
		case now := <-ticker.C:
			h.reportLosses(now)
		}
	}
}

// reportLosses logs how many lines were left out or dropped. These lines do not use the budget.
func (h *Handler) reportLosses(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.budget.Omitted() {
		h.warn(now, "log lines left out", log.Fields{"of": o.Message, reasonField: o.Reason, "lines": o.Lines, "since": o.Since})
	}
	if n := h.writer.Dropped(); n > h.dropped {
		h.warn(now, "log lines dropped, because their reader is slow", log.Fields{"lines": n - h.dropped})
		h.dropped = n
	}
}

// warn writes a line about the log itself.
func (h *Handler) warn(now time.Time, message string, fields log.Fields) {
	// The fields hold only types that can always be encoded.
	data, _ := encodeLine(log.WarnLevel, now, message, h.fields, fields)
	h.writer.Write(data)
}

// Counts returns how many lines were written, left out and dropped so far. Dropped lines
// are also counted as written.
func (h *Handler) Counts() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return map[string]int{"written": h.written, "omitted": h.omitted, "dropped": h.writer.Dropped()}
}

// Close reports the lines left out and writes the pending lines. It is an error if the deadline
// passes before they are written.
func (h *Handler) Close(deadline time.Time) error {
	close(h.stop)
	h.done.Wait()
	h.reportLosses(time.Now())
	if err := h.writer.Close(deadline); err != nil {
		return fmt.Errorf("boundedlog: %w", err)
	}
	return nil
}
