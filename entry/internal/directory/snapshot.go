package directory

import (
	"maps"

	"bramleystand.org/common/configuration"
	"bramleystand.org/entry/internal/control"
)

// snapshot is what lookups read. It is never changed after it was published.
type snapshot struct {
	services    map[string]*service
	preset      configuration.Preset
	active      string
	leaving     map[string]configuration.Leaving
	successions map[control.Pair]control.Succession
	tables      map[control.Pair]*control.Table
	// versions holds the version in force of each object, tombstones included.
	versions map[string]int64
	// problems says of each object whose newest version is invalid why it is not in force.
	problems map[string]error
	// members is sorted by name.
	members []control.Announcement
	// live holds the members of each data centre that neither are silent nor leave.
	live map[string][]control.Member
	// watching says whether this member is to watch the platform.
	watching bool
}

func newSnapshot() *snapshot {
	presets := configuration.DefaultPresets()
	preset, _ := presets.InForce()
	return &snapshot{
		services:    map[string]*service{},
		preset:      preset,
		active:      presets.Active,
		leaving:     map[string]configuration.Leaving{},
		successions: map[control.Pair]control.Succession{},
		tables:      map[control.Pair]*control.Table{},
		versions:    map[string]int64{},
		problems:    map[string]error{},
		live:        map[string][]control.Member{},
	}
}

// clone copies the maps; their values are shared because they are never changed.
func (s *snapshot) clone() *snapshot {
	c := *s
	c.services = maps.Clone(s.services)
	c.leaving = maps.Clone(s.leaving)
	c.successions = maps.Clone(s.successions)
	c.tables = maps.Clone(s.tables)
	c.versions = maps.Clone(s.versions)
	c.problems = maps.Clone(s.problems)
	return &c
}
