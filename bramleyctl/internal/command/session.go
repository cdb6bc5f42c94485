package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"bramleystand.org/bramleyctl/internal/objectstore"
	"bramleystand.org/common/platform"
)

// errUnchanged is returned by an edit if the object already has the wanted value, so that nothing
// is written.
var errUnchanged = errors.New("already in force")

// session holds the flags, the context and the output of one run of a command.
type session struct {
	commandLine *commandLine
	ctx         context.Context
	out         io.Writer
	connect     Connect
}

// objectstore returns a store for the platform's objects, or an error if --platform is missing.
func (s *session) objectstore() (*objectstore.Store, error) {
	if !s.commandLine.Platform.IsValid() {
		return nil, fmt.Errorf("%w: --platform is missing, allowed: an IP address with port", errInvalid)
	}
	return objectstore.New(s.connect(s.commandLine.Platform), s.commandLine.Author), nil
}

// changeObject edits an object and prints the text done with the new version. If the edit returns
// errUnchanged, the command succeeds and prints the current version.
func (s *session) changeObject(name, done string, edit func(platform.Object) ([]byte, error)) error {
	if s.commandLine.Author == "" {
		return fmt.Errorf("%w: --author is missing, allowed: the name of the author of the change", errInvalid)
	}
	objects, err := s.objectstore()
	if err != nil {
		return err
	}
	var current platform.Object
	o, err := objects.Change(s.ctx, name, func(o platform.Object) ([]byte, error) {
		current = o
		return edit(o)
	})
	if errors.Is(err, errUnchanged) {
		o, done = current, "already in force"
	} else if err != nil {
		return err
	}
	if s.commandLine.JSON {
		return s.printJSON(changeResult{Object: name, Version: o.Version, Author: o.Author, Change: o.Change, Done: done})
	}
	_, err = fmt.Fprintf(s.out, "%s: %s, version %d by %s\n", name, done, o.Version, o.Author)
	return err
}

// changeResult is the JSON form of a successful change.
type changeResult struct {
	Object  string `json:"object"`
	Version int64  `json:"version"`
	Author  string `json:"author"`
	Change  string `json:"change"`
	Done    string `json:"done"`
}

// printJSON prints a value as indented JSON.
func (s *session) printJSON(v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("print: %w", err)
	}
	_, err = fmt.Fprintf(s.out, "%s\n", data)
	return err
}

// printTable prints rows in aligned columns; the first row holds the column titles.
func (s *session) printTable(rows [][]any) error {
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(w, "\t")
			}
			_, _ = fmt.Fprint(w, cell)
		}
		_, _ = fmt.Fprintln(w)
	}
	return w.Flush()
}

// readFile reads a file that the operator has named; a failure counts as invalid input.
func readFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	return data, nil
}

// checkVersion returns a conflict, which the exit code reports as a lost race, if the operator's
// file was made from another version of the object.
func checkVersion(o platform.Object, version *int64) error {
	if version == nil || *version == o.Version {
		return nil
	}
	return fmt.Errorf("lost a race, nothing was changed; the file was made from version %d: %w", *version,
		&platform.ConflictError{Name: o.Name, Version: o.Version, Author: o.Author, Deleted: o.Deleted})
}

// notFoundError returns the error for an object that does not exist.
func notFoundError(name string) error {
	return fmt.Errorf("%w: %s does not exist", errInvalid, name)
}
