package command

import (
	"fmt"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/entrysettings"
)

type checkCommand struct {
	File string `arg:"" help:"File to check."`
	Kind string `help:"What the file holds: ${enum}." enum:"entry,service,preset,leaving" default:"entry"`
}

// Run validates the file and returns all errors in it.
func (c checkCommand) Run(s *session) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	switch c.Kind {
	case "service":
		_, err = configuration.DecodeService(data)
	case "preset":
		_, err = configuration.DecodePresets(data)
	case "leaving":
		_, err = configuration.DecodeLeaving(data)
	default:
		_, err = entrysettings.Parse(data)
	}
	if err != nil {
		return fmt.Errorf("%w: %s: %w", errInvalid, c.File, err)
	}
	_, err = fmt.Fprintf(s.out, "%s: valid\n", c.File)
	return err
}
