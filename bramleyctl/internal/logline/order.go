package logline

import (
	"slices"
	"time"
)

// clockComparedMessage is the message of the lines that report the difference of two clocks.
const clockComparedMessage = "clock compared"

// clockPair is a process and the peer that its clock was compared with.
type clockPair struct{ process, peer string }

// Order returns the lines sorted by a reference clock, which is the clock of the process that
// the most "clock compared" lines name as the peer. Lines of a process whose difference to that
// clock is not known keep their own time.
func Order(lines []Line) []Line {
	differences := make(map[clockPair]time.Duration)
	comparisons := make(map[string]int)
	for _, l := range lines {
		ms, ok := l.Number("ahead")
		if l.Message != clockComparedMessage || !ok {
			continue
		}
		differences[clockPair{l.Process, l.Text("coordinator")}] = time.Duration(ms) * time.Millisecond
		comparisons[l.Text("coordinator")]++
	}
	ahead := clocksAhead(mostFrequent(comparisons), differences)
	ordered := slices.Clone(lines)
	for i := range ordered {
		ordered[i].ClockAhead = ahead[ordered[i].Process]
	}
	slices.SortStableFunc(ordered, func(a, b Line) int { return a.CommonTime().Compare(b.CommonTime()) })
	return ordered
}

// mostFrequent returns the name with the highest count; a tie goes to the first in alphabetical
// order.
func mostFrequent(counts map[string]int) string {
	best := ""
	for name, n := range counts {
		if best == "" || n > counts[best] || n == counts[best] && name < best {
			best = name
		}
	}
	return best
}

// clocksAhead returns how far each process's clock is ahead of the reference process's clock. It
// leaves out processes that no chain of comparisons connects to the reference.
func clocksAhead(reference string, differences map[clockPair]time.Duration) map[string]time.Duration {
	ahead := map[string]time.Duration{reference: 0}
	for range len(differences) {
		known := len(ahead)
		for pair, difference := range differences {
			if peer, ok := ahead[pair.peer]; ok && !hasName(ahead, pair.process) {
				ahead[pair.process] = peer + difference
			} else if process, ok := ahead[pair.process]; ok && !hasName(ahead, pair.peer) {
				ahead[pair.peer] = process - difference
			}
		}
		if len(ahead) == known {
			break
		}
	}
	return ahead
}

// hasName reports whether the map has an entry for the name, even if its value is 0.
func hasName(m map[string]time.Duration, name string) bool {
	_, ok := m[name]
	return ok
}
