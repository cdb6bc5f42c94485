// Package linebudget decides which log lines are written when there are too many.
//
// It is made for floods of failing requests, in which each request logs a line and a single line
// about a lost dependency must still be written. In each second, lines about ordinary successes
// get at most half of the budget. Lines with the same message and reason have the same topic. The
// first few lines of every topic are always written; further lines of the topic are written while
// the budget lasts. Lines left out are counted by topic.
//
// # Usage
//
//	b := linebudget.New(linebudget.Limit{Lines: 200, Bytes: 64 << 10})
//	if b.Allow(now, linebudget.Line{Message: "request not served", Reason: "full", Bytes: 240}) {
//		// Write the line.
//	}
//	for _, o := range b.Omitted() {
//		// Write that o.Lines lines were left out.
//	}
package linebudget

import (
	"cmp"
	"slices"
	"time"
)

const (
	// window is the period over which lines are counted.
	window = time.Second
	// guaranteedLines is the number of lines of one topic that are written in a window at any load.
	guaranteedLines = 3
	// maxTopics bounds the topics that are counted separately in a window. Lines of further topics
	// get only what is left of the budget and are counted together.
	maxTopics = 64
	// ordinaryDivisor divides the budget to give the part that ordinary lines may use.
	ordinaryDivisor = 2
)

// Limit is the number of lines and bytes that may be written per second.
type Limit struct {
	Lines int
	Bytes int
}

// Line holds the properties of a log line that decide whether it is written.
type Line struct {
	// Message and Reason say what the line is about; lines that agree in both are repeats.
	Message string
	Reason  string
	Bytes   int
	// Ordinary is true for the lines that are left out first.
	Ordinary bool
}

// Omission is the number of lines of one topic that were left out since the time Since.
type Omission struct {
	Message string
	Reason  string
	Lines   int
	Since   time.Time
}

// Budget counts the lines of the current window. Its callers pass the current time. It is not safe
// for concurrent use.
type Budget struct {
	limit       Limit
	windowStart time.Time
	used        Limit
	// written counts the lines by topic that were written in the window.
	written map[topic]int
	// omitted counts the lines by topic that were left out since the last call of Omitted;
	// omittedSince is the time of the first of them.
	omitted      map[topic]int
	omittedSince time.Time
}

// topic identifies what a line is about.
type topic struct{ message, reason string }

// New returns an unused budget.
func New(l Limit) *Budget {
	return &Budget{limit: l, written: make(map[topic]int), omitted: make(map[topic]int)}
}

// Allow reports whether a line may be written, and counts it as written or left out.
func (b *Budget) Allow(now time.Time, l Line) bool {
	if now.Sub(b.windowStart) >= window || now.Before(b.windowStart) {
		b.windowStart, b.used = now, Limit{}
		clear(b.written)
	}
	t := b.topic(l)
	if !b.mayWrite(l, t) {
		if len(b.omitted) == 0 {
			b.omittedSince = now
		}
		b.omitted[t]++
		return false
	}
	b.written[t]++
	b.used.Lines++
	b.used.Bytes += l.Bytes
	return true
}

// mayWrite reports whether a line is one of the guaranteed lines of its topic or fits into the
// budget.
func (b *Budget) mayWrite(l Line, t topic) bool {
	limit := b.limit
	if l.Ordinary {
		limit = Limit{Lines: limit.Lines / ordinaryDivisor, Bytes: limit.Bytes / ordinaryDivisor}
	} else if n := b.written[t]; n < guaranteedLines && (n > 0 || len(b.written) < maxTopics) {
		return true
	}
	return b.used.Lines < limit.Lines && b.used.Bytes+l.Bytes <= limit.Bytes
}

// topic returns the topic of a line, or the empty topic if too many are known already.
func (b *Budget) topic(l Line) topic {
	t := topic{message: l.Message, reason: l.Reason}
	if b.written[t] > 0 || b.omitted[t] > 0 || len(b.written) < maxTopics && len(b.omitted) < maxTopics {
		return t
	}
	return topic{}
}

// Omitted returns the counts of the lines left out since its last call.
func (b *Budget) Omitted() []Omission {
	if len(b.omitted) == 0 {
		return nil
	}
	out := make([]Omission, 0, len(b.omitted))
	for t, n := range b.omitted {
		out = append(out, Omission{Message: t.message, Reason: t.reason, Lines: n, Since: b.omittedSince})
	}
	clear(b.omitted)
	slices.SortFunc(out, func(a, b Omission) int {
		return cmp.Or(cmp.Compare(a.Message, b.Message), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}
