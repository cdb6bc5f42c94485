package configuration

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"bramleystand.org/common/rank"
)

// Limits of a preset.
const (
	maxQueue   = 1_000_000
	maxTimeout = 10 * time.Minute
	// maxDrain stays below the time for which operation records are kept.
	maxDrain = 5 * time.Minute
)

// Validate reports all values that are not allowed.
func (p *Presets) Validate() error {
	var found problems
	var names []string
	for i := range p.All {
		at := fmt.Sprintf("presets[%d]", i)
		if slices.Contains(names, p.All[i].Name) {
			found.reject(at+".name", strconv.Quote(p.All[i].Name), "a name that no other preset has")
		}
		names = append(names, p.All[i].Name)
		p.All[i].validate(&found, at)
	}
	if !slices.Contains(names, p.Active) {
		found.reject("active", strconv.Quote(p.Active), fmt.Sprintf("the name of a preset, one of %q", names))
	}
	return found.join()
}

func (p *Preset) validate(found *problems, at string) {
	found.name(at+".name", p.Name)
	if p.Drain <= 0 || p.Drain > maxDrain {
		found.reject(at+".drain", p.Drain, fmt.Sprintf("more than 0s, at most %s", maxDrain))
	}
	floors := 0
	for r, l := range p.Ranks {
		l.validate(found, fmt.Sprintf("%s.ranks.%s", at, rank.Rank(r)))
		floors += l.Floor
	}
	if floors > 100 {
		found.reject(at+".ranks", fmt.Sprintf("a sum of floors of %d", floors), "a sum of at most 100")
	}
}

func (l *RankLimit) validate(found *problems, at string) {
	found.between(at+".floor", l.Floor, 0, 100)
	found.between(at+".cap", l.Cap, max(1, min(l.Floor, 100)), 100)
	found.between(at+".queue", l.Queue, 1, maxQueue)
	if l.Timeout < time.Millisecond || l.Timeout > maxTimeout {
		found.reject(at+".timeout", l.Timeout, fmt.Sprintf("1ms to %s", maxTimeout))
	}
}
