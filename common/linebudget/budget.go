// Package linebudget decides which log lines are written when there are too many.
//
// It answers a flood of failing requests, in which each request has a line, and in which one
// line about a lost dependency must still be found. In each second, lines of ordinary successes
// get half of the budget at most. The first few lines of every reason are always written; what
// follows of the same reason is written while the budget lasts. What is left out is counted by
// reason.
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
	// window is the time over which lines are counted.
	window = time.Second
	// rare is the number of lines of one reason that are written in a window at any load.
	rare = 3
	// mostReasons bounds the reasons that are told apart in a window; the lines of others have
	// only what is left of the budget and are counted together.
	mostReasons = 64
	// ordinaryPart is the part of the budget, one in so many, that ordinary lines may use.
	ordinaryPart = 2
)

// Limit is the budget of one second.
type Limit struct {
	Lines int
	Bytes int
}

// Line is what the decision on a line depends on.
type Line struct {
	// Message and Reason say what the line is about; lines that agree in both are repeats.
	Message string
	Reason  string
	Bytes   int
	// Ordinary is true for the lines that are left out first.
	Ordinary bool
}

// Omission is the number of lines on one topic that were left out since Since.
type Omission struct {
	Message string
	Reason  string
	Lines   int
	Since   time.Time
}

// Budget counts lines. It has no clock and is not safe for concurrent use.
type Budget struct {
	limit Limit
	begin time.Time
	used  Limit
	// written is the number of written lines by topic, omitted that of the others.
	written map[topic]int
	omitted map[topic]int
	since   time.Time
}

// topic is what a line is about.
type topic struct{ message, reason string }

// New returns a budget of which nothing is used.
func New(l Limit) *Budget {
	return &Budget{limit: l, written: make(map[topic]int), omitted: make(map[topic]int)}
}

// Allow reports whether a line is written.
func (b *Budget) Allow(now time.Time, l Line) bool {
	if now.Sub(b.begin) >= window || now.Before(b.begin) {
		b.begin, b.used = now, Limit{}
		clear(b.written)
	}
	m := b.topic(l)
	if !b.fits(l, m) {
		if len(b.omitted) == 0 {
			b.since = now
		}
		b.omitted[m]++
		return false
	}
	b.written[m]++
	b.used.Lines++
	b.used.Bytes += l.Bytes
	return true
}

// fits reports whether the budget has room for a line.
func (b *Budget) fits(l Line, m topic) bool {
	limit := b.limit
	if l.Ordinary {
		limit = Limit{Lines: limit.Lines / ordinaryPart, Bytes: limit.Bytes / ordinaryPart}
	} else if n := b.written[m]; n < rare && (n > 0 || len(b.written) < mostReasons) {
		return true
	}
	return b.used.Lines < limit.Lines && b.used.Bytes+l.Bytes <= limit.Bytes
}

// topic returns what a line is about, or the empty one when too many are known.
func (b *Budget) topic(l Line) topic {
	m := topic{message: l.Message, reason: l.Reason}
	if b.written[m] > 0 || b.omitted[m] > 0 || len(b.written) < mostReasons && len(b.omitted) < mostReasons {
		return m
	}
	return topic{}
}

// Omitted returns what was left out since the last call.
func (b *Budget) Omitted() []Omission {
	if len(b.omitted) == 0 {
		return nil
	}
	out := make([]Omission, 0, len(b.omitted))
	for m, n := range b.omitted {
		out = append(out, Omission{Message: m.message, Reason: m.reason, Lines: n, Since: b.since})
	}
	clear(b.omitted)
	slices.SortFunc(out, func(a, b Omission) int {
		return cmp.Or(cmp.Compare(a.Message, b.Message), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}
