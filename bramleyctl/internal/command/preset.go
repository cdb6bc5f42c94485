package command

import (
	"bytes"
	"encoding/json"
	"fmt"

	"bramleystand.org/bramleyctl/internal/store"
	"bramleystand.org/common/configuration"
	"bramleystand.org/common/platform"
	"bramleystand.org/common/rank"
)

type presetCommands struct {
	Show   presetShow   `cmd:"" help:"Show the limits of all presets."`
	List   presetList   `cmd:"" help:"List the presets and the one in force."`
	Switch presetSwitch `cmd:"" help:"Put a preset in force."`
	Apply  presetApply  `cmd:"" help:"Replace all presets from a JSON file."`
}

type presetShow struct{}

// Run prints one line per preset and rank.
func (presetShow) Run(s *session) error {
	p, o, err := s.presets()
	if err != nil {
		return err
	}
	if s.line.JSON {
		return s.presetsJSON(p)
	}
	rows := [][]any{{"PRESET", "RANK", "FLOOR", "CAP", "QUEUE", "TIMEOUT", "DRAIN"}}
	for _, c := range p.All {
		for r, l := range c.Ranks {
			rows = append(rows, []any{c.Name, rank.Rank(r), fmt.Sprintf("%d%%", l.Floor), fmt.Sprintf("%d%%", l.Cap), l.Queue, l.Timeout, c.Drain})
		}
	}
	if err := s.table(rows); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "in force: %s, %s\n", p.Active, origin(o))
	return err
}

type presetList struct{}

// Run prints one line per preset.
func (presetList) Run(s *session) error {
	p, o, err := s.presets()
	if err != nil {
		return err
	}
	if s.line.JSON {
		return s.presetsJSON(p)
	}
	rows := [][]any{{"PRESET", "IN FORCE"}}
	for _, c := range p.All {
		mark := ""
		if c.Name == p.Active {
			mark = "yes, " + origin(o)
		}
		rows = append(rows, []any{c.Name, mark})
	}
	return s.table(rows)
}

type presetSwitch struct {
	Name string `arg:"" help:"Name of the preset."`
}

// Run puts the preset in force.
func (c presetSwitch) Run(s *session) error {
	return s.change(configuration.PresetObject, "switched to "+c.Name, func(o platform.Object) ([]byte, error) {
		p, err := presetsOf(o)
		if err != nil {
			return nil, err
		}
		p.Active = c.Name
		return encodePresets(o, p)
	})
}

type presetApply struct {
	File    string `arg:"" help:"JSON file of all presets."`
	Version *int64 `help:"Version that the file was made from; another one in force counts as a lost race."`
}

// Run checks the file and writes it.
func (c presetApply) Run(s *session) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	p, err := configuration.DecodePresets(data)
	if err != nil {
		return fmt.Errorf("%w: %w", errInvalid, err)
	}
	return s.change(configuration.PresetObject, "applied", func(o platform.Object) ([]byte, error) {
		if err := expect(o, c.Version); err != nil {
			return nil, err
		}
		return encodePresets(o, p)
	})
}

// presets reads the presets, which are the default ones until somebody has written them.
func (s *session) presets() (configuration.Presets, platform.Object, error) {
	objects, err := s.store()
	if err != nil {
		return configuration.Presets{}, platform.Object{}, err
	}
	o, err := objects.Get(s.ctx, configuration.PresetObject)
	if err != nil {
		return configuration.Presets{}, o, fmt.Errorf("read presets: %w", err)
	}
	p, err := presetsOf(o)
	return p, o, err
}

func (s *session) presetsJSON(p configuration.Presets) error {
	data, err := configuration.EncodePresets(p)
	if err != nil {
		return err
	}
	return s.json(json.RawMessage(data))
}

func presetsOf(o platform.Object) (configuration.Presets, error) {
	if !store.Exists(o) {
		return configuration.DefaultPresets(), nil
	}
	return configuration.DecodePresets(o.Value)
}

func encodePresets(o platform.Object, p configuration.Presets) ([]byte, error) {
	if err := p.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	data, err := configuration.EncodePresets(p)
	if err != nil {
		return nil, err
	}
	if store.Exists(o) && bytes.Equal(data, o.Value) {
		return nil, errUnchanged
	}
	return data, nil
}

// origin says who has written an object.
func origin(o platform.Object) string {
	if !store.Exists(o) {
		return "default, not written yet"
	}
	return fmt.Sprintf("version %d by %s", o.Version, o.Author)
}
