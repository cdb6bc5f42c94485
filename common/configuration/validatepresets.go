package configuration

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"bramleystand.org/common/rank"
)

// Bounds of the values of a preset.
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
	for i := range p.Items {
		path := fmt.Sprintf("presets[%d]", i)
		if slices.Contains(names, p.Items[i].Name) {
			found.reject(path+".name", strconv.Quote(p.Items[i].Name), "a name that no other preset has")
		}
		names = append(names, p.Items[i].Name)
		p.Items[i].validate(&found, path)
	}
	if !slices.Contains(names, p.Active) {
		found.reject("active", strconv.Quote(p.Active), fmt.Sprintf("the name of a preset, one of %q", names))
	}
	return found.join()
}

func (p *Preset) validate(found *problems, path string) {
	found.checkName(path+".name", p.Name)
	if p.Drain <= 0 || p.Drain > maxDrain {
		found.reject(path+".drain", p.Drain, fmt.Sprintf("more than 0s, at most %s", maxDrain))
	}
	floorSum := 0
	for r, l := range p.Ranks {
		l.validate(found, fmt.Sprintf("%s.ranks.%s", path, rank.Rank(r)))
		floorSum += l.Floor
	}
	if floorSum > 100 {
		found.reject(path+".ranks", fmt.Sprintf("a sum of floors of %d", floorSum), "a sum of at most 100")
	}
}

func (l *RankLimit) validate(found *problems, path string) {
	found.checkRange(path+".floor", l.Floor, 0, 100)
	found.checkRange(path+".cap", l.Cap, max(1, min(l.Floor, 100)), 100)
	found.checkRange(path+".queue", l.Queue, 1, maxQueue)
	if l.Timeout < time.Millisecond || l.Timeout > maxTimeout {
		found.reject(path+".timeout", l.Timeout, fmt.Sprintf("1ms to %s", maxTimeout))
	}
}
