package command

import (
	"bytes"
	"encoding/json"
	"fmt"

	"bramleystand.org/bramleyctl/internal/objectstore"
	"bramleystand.org/common/configuration"
	"bramleystand.org/common/platform"
	"bramleystand.org/common/rank"
)

type presetCommands struct {
	Show   presetShowCommand   `cmd:"" help:"Show the limits of all presets."`
	List   presetListCommand   `cmd:"" help:"List the presets and the one in force."`
	Switch presetSwitchCommand `cmd:"" help:"Put a preset in force."`
	Apply  presetApplyCommand  `cmd:"" help:"Replace all presets from a JSON file."`
}

type presetShowCommand struct{}

// Run prints the limits of each preset, one line per rank, and which preset is in force.
func (presetShowCommand) Run(s *session) error {
	p, o, err := s.readPresets()
	if err != nil {
		return err
	}
	if s.commandLine.JSON {
		return s.printPresetsJSON(p)
	}
	rows := [][]any{{"PRESET", "RANK", "FLOOR", "CAP", "QUEUE", "TIMEOUT", "DRAIN"}}
	for _, c := range p.Items {
		for r, l := range c.Ranks {
			rows = append(rows, []any{c.Name, rank.Rank(r), fmt.Sprintf("%d%%", l.Floor), fmt.Sprintf("%d%%", l.Cap), l.Queue, l.Timeout, c.Drain})
		}
	}
	if err := s.printTable(rows); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "in force: %s, %s\n", p.Active, describeVersion(o))
	return err
}

type presetListCommand struct{}

// Run prints one line per preset and marks the one in force.
func (presetListCommand) Run(s *session) error {
	p, o, err := s.readPresets()
	if err != nil {
		return err
	}
	if s.commandLine.JSON {
		return s.printPresetsJSON(p)
	}
	rows := [][]any{{"PRESET", "IN FORCE"}}
	for _, c := range p.Items {
		inForce := ""
		if c.Name == p.Active {
			inForce = "yes, " + describeVersion(o)
		}
		rows = append(rows, []any{c.Name, inForce})
	}
	return s.printTable(rows)
}

type presetSwitchCommand struct {
	Name string `arg:"" help:"Name of the preset."`
}

// Run puts the preset in force.
func (c presetSwitchCommand) Run(s *session) error {
	return s.changeObject(configuration.PresetsObject, "switched to "+c.Name, func(o platform.Object) ([]byte, error) {
		p, err := decodePresets(o)
		if err != nil {
			return nil, err
		}
		p.Active = c.Name
		return encodePresets(o, p)
	})
}

type presetApplyCommand struct {
	File    string `arg:"" help:"JSON file of all presets."`
	Version *int64 `help:"Version that the file was made from; if another one is in force, the command fails as a lost race."`
}

// Run validates the file and replaces all presets with it.
func (c presetApplyCommand) Run(s *session) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	p, err := configuration.DecodePresets(data)
	if err != nil {
		return fmt.Errorf("%w: %w", errInvalid, err)
	}
	return s.changeObject(configuration.PresetsObject, "applied", func(o platform.Object) ([]byte, error) {
		if err := checkVersion(o, c.Version); err != nil {
			return nil, err
		}
		return encodePresets(o, p)
	})
}

// readPresets reads the presets from the platform. They are the default ones until somebody has
// written others.
func (s *session) readPresets() (configuration.Presets, platform.Object, error) {
	objects, err := s.objectstore()
	if err != nil {
		return configuration.Presets{}, platform.Object{}, err
	}
	o, err := objects.Get(s.ctx, configuration.PresetsObject)
	if err != nil {
		return configuration.Presets{}, o, fmt.Errorf("read presets: %w", err)
	}
	p, err := decodePresets(o)
	return p, o, err
}

// printPresetsJSON prints the presets in the form that apply accepts.
func (s *session) printPresetsJSON(p configuration.Presets) error {
	data, err := configuration.EncodePresets(p)
	if err != nil {
		return err
	}
	return s.printJSON(json.RawMessage(data))
}

// decodePresets returns the presets of an object, or the default ones if it does not exist.
func decodePresets(o platform.Object) (configuration.Presets, error) {
	if !objectstore.Exists(o) {
		return configuration.DefaultPresets(), nil
	}
	return configuration.DecodePresets(o.Value)
}

// encodePresets validates and encodes presets that replace the object. It returns errUnchanged if
// the object already holds them.
func encodePresets(o platform.Object, p configuration.Presets) ([]byte, error) {
	if err := p.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	data, err := configuration.EncodePresets(p)
	if err != nil {
		return nil, err
	}
	if objectstore.Exists(o) && bytes.Equal(data, o.Value) {
		return nil, errUnchanged
	}
	return data, nil
}

// describeVersion returns the version and the author of an object as text.
func describeVersion(o platform.Object) string {
	if !objectstore.Exists(o) {
		return "default, not written yet"
	}
	return fmt.Sprintf("version %d by %s", o.Version, o.Author)
}
