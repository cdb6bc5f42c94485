package configuration

import (
	"encoding/json"
	"fmt"
	"time"

	"bramleystand.org/common/rank"
	"bramleystand.org/common/settings"
)

type presetsWire struct {
	Active  string       `json:"active"`
	Presets []presetWire `json:"presets"`
}

type presetWire struct {
	Name  string            `json:"name"`
	Drain settings.Duration `json:"drain"`
	Ranks ranksWire         `json:"ranks"`
}

type ranksWire struct {
	Confirmation limitWire `json:"confirmation"`
	Lookup       limitWire `json:"lookup"`
	Upload       limitWire `json:"upload"`
}

type limitWire struct {
	Floor   int               `json:"floor"`
	Cap     int               `json:"cap"`
	Queue   int               `json:"queue"`
	Timeout settings.Duration `json:"timeout"`
}

// DecodePresets parses and validates the JSON form of the presets.
func DecodePresets(data []byte) (Presets, error) {
	var w presetsWire
	if err := settings.Decode(data, &w); err != nil {
		return Presets{}, fmt.Errorf("configuration: presets: %w", err)
	}
	p := Presets{Active: w.Active}
	for _, c := range w.Presets {
		preset := Preset{Name: c.Name, Drain: time.Duration(c.Drain)}
		preset.Ranks[rank.Confirmation] = c.Ranks.Confirmation.limit()
		preset.Ranks[rank.Lookup] = c.Ranks.Lookup.limit()
		preset.Ranks[rank.Upload] = c.Ranks.Upload.limit()
		p.All = append(p.All, preset)
	}
	if err := p.Validate(); err != nil {
		return Presets{}, fmt.Errorf("configuration: presets: %w", err)
	}
	return p, nil
}

// EncodePresets returns the JSON form of the presets.
func EncodePresets(p Presets) ([]byte, error) {
	w := presetsWire{Active: p.Active, Presets: []presetWire{}}
	for _, c := range p.All {
		w.Presets = append(w.Presets, presetWire{Name: c.Name, Drain: settings.Duration(c.Drain), Ranks: ranksWire{
			Confirmation: wireOf(c.Ranks[rank.Confirmation]),
			Lookup:       wireOf(c.Ranks[rank.Lookup]),
			Upload:       wireOf(c.Ranks[rank.Upload]),
		}})
	}
	return json.Marshal(w)
}

func (w limitWire) limit() RankLimit {
	return RankLimit{Floor: w.Floor, Cap: w.Cap, Queue: w.Queue, Timeout: time.Duration(w.Timeout)}
}

func wireOf(l RankLimit) limitWire {
	return limitWire{Floor: l.Floor, Cap: l.Cap, Queue: l.Queue, Timeout: settings.Duration(l.Timeout)}
}
