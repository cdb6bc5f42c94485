package caller

import (
	"expvar"
	"time"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
)

// Counters counts answers by rank and outcome.
type Counters struct {
	answers *expvar.Map
	micros  *expvar.Map
}

// NewCounters returns counters that appear in the given expvar map.
func NewCounters(parent *expvar.Map) *Counters {
	c := &Counters{answers: new(expvar.Map), micros: new(expvar.Map)}
	parent.Set("answers", c.answers)
	parent.Set("answer_microseconds", c.micros)
	return c
}

// names holds the keys of the counters, so that counting allocates nothing.
var names = func() (n [rank.Count][3]string) {
	for r := range n {
		for o := range n[r] {
			n[r][o] = rank.Rank(r).String() + "." + outcome.Outcome(o).String()
		}
	}
	return n
}()

// Count adds one answer.
func (c *Counters) Count(r rank.Rank, o outcome.Outcome, took time.Duration) {
	name := names[r][o]
	c.answers.Add(name, 1)
	c.micros.Add(name, took.Microseconds())
}
