// Package recovery measures how long keys were not served, from the attempts of
// callers.
//
// # Usage
//
//	w := recovery.Window{Attempts: attempts, Keys: keys, From: killed, To: end}
//	duration, missing := w.TimeToRecover()
//	gap := w.LongestGap()
package recovery

import (
	"slices"
	"time"

	"bramleystand.org/common/outcome"
	"bramleystand.org/replay/internal/operation"
)

// Window is a period after a failure, with the affected keys and the attempts of
// callers.
type Window struct {
	Attempts []operation.Attempt
	Keys     []string
	From     time.Time
	To       time.Time
}

// TimeToRecover returns the time from the start of the window until every key has been
// served at least once by an attempt sent in the window, and the keys that were not
// served. If there are any, the time is the length of the window.
func (w *Window) TimeToRecover() (time.Duration, []string) {
	firstServed := map[string]time.Time{}
	for _, a := range w.Attempts {
		if a.Outcome != outcome.Ran || a.Sent.Before(w.From) || a.AnsweredAt.After(w.To) {
			continue
		}
		if f, ok := firstServed[a.Key]; !ok || a.AnsweredAt.Before(f) {
			firstServed[a.Key] = a.AnsweredAt
		}
	}
	var longest time.Duration
	var missing []string
	for _, k := range w.Keys {
		f, ok := firstServed[k]
		if !ok {
			missing = append(missing, k)
			f = w.To
		}
		longest = max(longest, f.Sub(w.From))
	}
	return longest, missing
}

// LongestGap returns the longest period in the window without a response from a run for one
// of the keys.
func (w *Window) LongestGap() time.Duration {
	answered := map[string][]time.Time{}
	for _, a := range w.Attempts {
		if a.Outcome == outcome.Ran && a.AnsweredAt.After(w.From) && a.AnsweredAt.Before(w.To) {
			answered[a.Key] = append(answered[a.Key], a.AnsweredAt)
		}
	}
	var longest time.Duration
	for _, k := range w.Keys {
		times := answered[k]
		slices.SortFunc(times, time.Time.Compare)
		last := w.From
		for _, t := range append(times, w.To) {
			longest = max(longest, t.Sub(last))
			last = t
		}
	}
	return longest
}
