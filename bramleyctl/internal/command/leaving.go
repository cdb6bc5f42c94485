package command

import (
	"fmt"
	"time"

	"bramleystand.org/bramleyctl/internal/objectstore"
	"bramleystand.org/common/configuration"
	"bramleystand.org/common/platform"
)

type leaveCommand struct {
	VM string `arg:"" name:"vm" help:"Name of the entry VM or upstream."`
}

// Run marks the VM as leaving; it gets no new work after a few seconds.
func (c leaveCommand) Run(s *session) error {
	mark := configuration.Leaving{VM: c.VM, Author: s.commandLine.Author, Since: time.Now().UTC().Truncate(time.Second)}
	return s.changeObject(configuration.LeavingObject(c.VM), "marked as leaving", func(o platform.Object) ([]byte, error) {
		if objectstore.Exists(o) {
			return nil, errUnchanged
		}
		if err := mark.Validate(); err != nil {
			return nil, fmt.Errorf("%w: %w", errInvalid, err)
		}
		return configuration.EncodeLeaving(mark)
	})
}

type unleaveCommand struct {
	VM string `arg:"" name:"vm" help:"Name of the VM."`
}

// Run removes the leaving mark of the VM.
func (c unleaveCommand) Run(s *session) error {
	name := configuration.LeavingObject(c.VM)
	return s.changeObject(name, "no longer leaving", func(o platform.Object) ([]byte, error) {
		if !objectstore.Exists(o) {
			return nil, notFoundError(name)
		}
		return nil, nil
	})
}

type leavingCommand struct{}

// Run prints one line per VM that is marked as leaving.
func (leavingCommand) Run(s *session) error {
	objects, err := s.listObjects(configuration.LeavingPrefix)
	if err != nil {
		return err
	}
	if s.commandLine.JSON {
		return s.printJSON(valuesByName(objects))
	}
	rows := [][]any{{"VM", "SINCE", "AUTHOR", "VERSION"}}
	for _, o := range objects {
		l, err := configuration.DecodeLeaving(o.Value)
		if err != nil {
			return fmt.Errorf("%s: %w", o.Name, err)
		}
		rows = append(rows, []any{l.VM, l.Since.Format(time.RFC3339), l.Author, o.Version})
	}
	return s.printTable(rows)
}
