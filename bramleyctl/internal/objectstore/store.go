// Package objectstore reads and changes objects of the platform on behalf of one operator.
//
// A change reads the object and writes the edited value on the condition that nobody else
// has changed it in between. Errors say which case occurred: another author changed the object
// first, the platform was unavailable and nothing was changed, or the outcome is unknown.
//
// # Usage
//
//	s := objectstore.New(platform.New(address, http.DefaultClient), "mika")
//	o, err := s.Change(ctx, "preset", func(o platform.Object) ([]byte, error) {
//		return edit(o.Value)
//	})
package objectstore

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"

	"bramleystand.org/common/platform"
)

// ObjectClient calls the object API of the platform.
type ObjectClient interface {
	Get(ctx context.Context, name string) (platform.Object, error)
	List(ctx context.Context, prefix string) ([]platform.Object, int64, error)
	Put(ctx context.Context, u platform.Update) (int64, error)
	Delete(ctx context.Context, u platform.Update) (int64, error)
}

// Store reads objects and changes them on behalf of one author.
type Store struct {
	client ObjectClient
	author string
}

// New returns a store that makes its changes in the name of an author.
func New(client ObjectClient, author string) *Store {
	return &Store{client: client, author: author}
}

// Exists reports whether the object has a value. An object that never existed has version 0, and
// a deleted one is a tombstone.
func Exists(o platform.Object) bool {
	return o.Version > 0 && !o.Deleted
}

// Get returns an object, its tombstone if it was deleted, or an object of version 0 if it never
// existed.
func (s *Store) Get(ctx context.Context, name string) (platform.Object, error) {
	o, err := s.client.Get(ctx, name)
	var notFound *platform.NotFoundError
	if errors.As(err, &notFound) {
		return platform.Object{Name: name, Version: notFound.Version, Author: notFound.Author, Deleted: notFound.Version > 0}, nil
	}
	return o, err
}

// List returns the objects whose names begin with the prefix, without tombstones.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Object, error) {
	all, _, err := s.client.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	var existing []platform.Object
	for _, o := range all {
		if Exists(o) {
			existing = append(existing, o)
		}
	}
	return existing, nil
}

// Change reads an object, calls edit and writes the value that it returns, if the object still has
// the version that was read. An edit that returns a nil value deletes the object.
func (s *Store) Change(ctx context.Context, name string, edit func(platform.Object) ([]byte, error)) (platform.Object, error) {
	current, err := s.Get(ctx, name)
	if err != nil {
		return platform.Object{}, fmt.Errorf("read %s, nothing was changed: %w", name, err)
	}
	value, err := edit(current)
	if err != nil {
		return platform.Object{}, err
	}
	u := platform.Update{Name: name, Value: value, IfVersion: current.Version, Author: s.author, Change: rand.Text()}
	write := s.client.Put
	if value == nil {
		write = s.client.Delete
	}
	version, err := write(ctx, u)
	if err != nil {
		return platform.Object{}, updateError(u, err)
	}
	return platform.Object{Name: name, Version: version, Deleted: value == nil, Value: value, Author: u.Author, Change: u.Change}, nil
}

// updateError adds to the error of an update whether the object is unchanged, was changed by
// somebody else before, or may have been changed by the update.
func updateError(update platform.Update, err error) error {
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && !conflict.Uncertain {
		return fmt.Errorf("lost a race, nothing was changed; version %d of %s was read: %w", update.IfVersion, update.Name, err)
	}
	if IsOutcomeUnknown(err) {
		return fmt.Errorf("outcome unknown of change %s of %s, version %d was read: %w", update.Change, update.Name, update.IfVersion, err)
	}
	return fmt.Errorf("write %s, nothing was changed: %w", update.Name, err)
}

// IsOutcomeUnknown reports whether the update may have taken effect although it returned this
// error.
func IsOutcomeUnknown(err error) bool {
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	return errors.As(err, &conflict) && conflict.Uncertain || errors.As(err, &unavailable) && unavailable.Uncertain
}
