package configuration

import (
	"encoding/json"
	"fmt"
	"time"

	"bramleystand.org/common/rank"
	"bramleystand.org/common/settings"
)

type presetsJSON struct {
	Active  string       `json:"active"`
	Presets []presetJSON `json:"presets"`
}

type presetJSON struct {
	Name  string            `json:"name"`
	Drain settings.Duration `json:"drain"`
	Ranks ranksJSON         `json:"ranks"`
}

type ranksJSON struct {
	Confirmation rankLimitJSON `json:"confirmation"`
	Lookup       rankLimitJSON `json:"lookup"`
	Upload       rankLimitJSON `json:"upload"`
}

type rankLimitJSON struct {
	Floor   int               `json:"floor"`
	Cap     int               `json:"cap"`
	Queue   int               `json:"queue"`
	Timeout settings.Duration `json:"timeout"`
}

// DecodePresets parses and validates the JSON form of the presets.
func DecodePresets(data []byte) (Presets, error) {
	var w presetsJSON
	if err := settings.Decode(data, &w); err != nil {
		return Presets{}, fmt.Errorf("configuration: presets: %w", err)
	}
	p := Presets{Active: w.Active}
	for _, c := range w.Presets {
		preset := Preset{Name: c.Name, Drain: time.Duration(c.Drain)}
		preset.Ranks[rank.Confirmation] = c.Ranks.Confirmation.decode()
		preset.Ranks[rank.Lookup] = c.Ranks.Lookup.decode()
		preset.Ranks[rank.Upload] = c.Ranks.Upload.decode()
		p.Items = append(p.Items, preset)
	}
	if err := p.Validate(); err != nil {
		return Presets{}, fmt.Errorf("configuration: presets: %w", err)
	}
	return p, nil
}

// EncodePresets returns the JSON form of the presets.
func EncodePresets(p Presets) ([]byte, error) {
	w := presetsJSON{Active: p.Active, Presets: []presetJSON{}}
	for _, c := range p.Items {
		w.Presets = append(w.Presets, presetJSON{Name: c.Name, Drain: settings.Duration(c.Drain), Ranks: ranksJSON{
			Confirmation: encodeRankLimit(c.Ranks[rank.Confirmation]),
			Lookup:       encodeRankLimit(c.Ranks[rank.Lookup]),
			Upload:       encodeRankLimit(c.Ranks[rank.Upload]),
		}})
	}
	return json.Marshal(w)
}

func (w rankLimitJSON) decode() RankLimit {
	return RankLimit{Floor: w.Floor, Cap: w.Cap, Queue: w.Queue, Timeout: time.Duration(w.Timeout)}
}

func encodeRankLimit(l RankLimit) rankLimitJSON {
	return rankLimitJSON{Floor: l.Floor, Cap: l.Cap, Queue: l.Queue, Timeout: settings.Duration(l.Timeout)}
}
