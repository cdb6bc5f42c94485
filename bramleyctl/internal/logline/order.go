package logline

import (
	"slices"
	"time"
)

// compared is the message of the lines that tell the difference of two clocks.
const compared = "clock compared"

// pair is a process and the one that its clock was compared with.
type pair struct{ name, with string }

// Order returns the lines in the order of a common clock, which is that of the process that most
// others have compared theirs with. Lines of a process whose difference is not known keep their time.
func Order(lines []Line) []Line {
	differences := make(map[pair]time.Duration)
	votes := make(map[string]int)
	for _, l := range lines {
		ms, ok := l.Number("ahead")
		if l.Message != compared || !ok {
			continue
		}
		differences[pair{l.Name, l.Text("coordinator")}] = time.Duration(ms) * time.Millisecond
		votes[l.Text("coordinator")]++
	}
	ahead := aheadOf(mostNamed(votes), differences)
	out := slices.Clone(lines)
	for i := range out {
		out[i].Ahead = ahead[out[i].Name]
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time().Compare(b.Time()) })
	return out
}

// mostNamed returns the name with the most votes, the first by name if several have as many.
func mostNamed(votes map[string]int) string {
	best := ""
	for name, n := range votes {
		if best == "" || n > votes[best] || n == votes[best] && name < best {
			best = name
		}
	}
	return best
}

// aheadOf returns by how much each clock is ahead of that of a process, as far as a chain of
// comparisons leads to it.
func aheadOf(reference string, differences map[pair]time.Duration) map[string]time.Duration {
	ahead := map[string]time.Duration{reference: 0}
	for range len(differences) {
		known := len(ahead)
		for p, d := range differences {
			if with, ok := ahead[p.with]; ok && !has(ahead, p.name) {
				ahead[p.name] = with + d
			} else if name, ok := ahead[p.name]; ok && !has(ahead, p.with) {
				ahead[p.with] = name - d
			}
		}
		if len(ahead) == known {
			break
		}
	}
	return ahead
}

func has(m map[string]time.Duration, name string) bool {
	_, ok := m[name]
	return ok
}
