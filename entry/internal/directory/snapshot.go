package directory

import (
	"maps"

	"bramleystand.org/common/configuration"
	"bramleystand.org/entry/internal/control"
)

// snapshot is the state that lookups read. A published snapshot is never changed.
type snapshot struct {
	services     map[string]*routedService
	preset       configuration.Preset
	activePreset string
	leaving      map[string]configuration.Leaving
	successions  map[control.Pair]control.Succession
	tables       map[control.Pair]*control.Table
	// versions holds the version in force of each object, including deleted ones.
	versions map[string]int64
	// invalidObjects holds, for each object whose newest version is invalid, why it is not in force.
	invalidObjects map[string]error
	// members is sorted by name.
	members []control.Announcement
	// live holds the members of each data centre that are neither silent nor leaving.
	live map[string][]control.Member
	// watchesPlatform says whether this member must watch the platform.
	watchesPlatform bool
}

func newSnapshot() *snapshot {
	presets := configuration.DefaultPresets()
	preset, _ := presets.ActivePreset()
	return &snapshot{
		services:       map[string]*routedService{},
		preset:         preset,
		activePreset:   presets.Active,
		leaving:        map[string]configuration.Leaving{},
		successions:    map[control.Pair]control.Succession{},
		tables:         map[control.Pair]*control.Table{},
		versions:       map[string]int64{},
		invalidObjects: map[string]error{},
		live:           map[string][]control.Member{},
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
	c.invalidObjects = maps.Clone(s.invalidObjects)
	return &c
}
