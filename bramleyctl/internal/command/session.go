package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"bramleystand.org/bramleyctl/internal/store"
	"bramleystand.org/common/platform"
)

// errUnchanged ends a change that would write what is in force already.
var errUnchanged = errors.New("already in force")

// session is one run of a command.
type session struct {
	line    *line
	ctx     context.Context
	out     io.Writer
	connect Connect
}

// store returns access to the platform's objects.
func (s *session) store() (*store.Store, error) {
	if !s.line.Platform.IsValid() {
		return nil, fmt.Errorf("%w: --platform is missing, allowed: an IP address with port", errInvalid)
	}
	return store.New(s.connect(s.line.Platform), s.line.Author), nil
}

// change edits an object and prints what was done.
func (s *session) change(name, done string, edit func(platform.Object) ([]byte, error)) error {
	if s.line.Author == "" {
		return fmt.Errorf("%w: --author is missing, allowed: the name of who makes the change", errInvalid)
	}
	objects, err := s.store()
	if err != nil {
		return err
	}
	var before platform.Object
	o, err := objects.Change(s.ctx, name, func(o platform.Object) ([]byte, error) {
		before = o
		return edit(o)
	})
	if errors.Is(err, errUnchanged) {
		o, done = before, "already in force"
	} else if err != nil {
		return err
	}
	if s.line.JSON {
		return s.json(outcome{Object: name, Version: o.Version, Author: o.Author, Change: o.Change, Done: done})
	}
	_, err = fmt.Fprintf(s.out, "%s: %s, version %d by %s\n", name, done, o.Version, o.Author)
	return err
}

// outcome is the JSON form of a successful change.
type outcome struct {
	Object  string `json:"object"`
	Version int64  `json:"version"`
	Author  string `json:"author"`
	Change  string `json:"change"`
	Done    string `json:"done"`
}

func (s *session) json(v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("print: %w", err)
	}
	_, err = fmt.Fprintf(s.out, "%s\n", data)
	return err
}

// table prints rows under a head in aligned columns.
func (s *session) table(rows [][]any) error {
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

func readFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	return data, nil
}

// expect fails as a lost race if the operator's file was made from another version.
func expect(o platform.Object, version *int64) error {
	if version == nil || *version == o.Version {
		return nil
	}
	return fmt.Errorf("lost a race, nothing was changed; the file was made from version %d: %w", *version,
		&platform.ConflictError{Name: o.Name, Version: o.Version, Author: o.Author, Deleted: o.Deleted})
}

// missing is the error for an object that does not exist.
func missing(name string) error {
	return fmt.Errorf("%w: %s does not exist", errInvalid, name)
}
