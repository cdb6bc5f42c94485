// Package store edits objects of the platform in the name of one operator.
//
// An edit reads the object and writes the result on the condition that nobody else
// changed it meanwhile. Errors say what happened: the author has lost a race, the
// platform was unavailable and nothing was changed, or the outcome is unknown.
//
// # Usage
//
//	s := store.New(platform.New(address, http.DefaultClient), "mika")
//	o, err := s.Change(ctx, "preset", func(o platform.Object) ([]byte, error) {
//		return edit(o.Value)
//	})
package store

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"

	"bramleystand.org/common/platform"
)

// Objects is the object API of the platform.
type Objects interface {
	Get(ctx context.Context, name string) (platform.Object, error)
	List(ctx context.Context, prefix string) ([]platform.Object, int64, error)
	Put(ctx context.Context, u platform.Update) (int64, error)
	Delete(ctx context.Context, u platform.Update) (int64, error)
}

// Store changes objects in the name of one author.
type Store struct {
	objects Objects
	author  string
}

// New returns a store for the changes of an author.
func New(objects Objects, author string) *Store {
	return &Store{objects: objects, author: author}
}

// Exists reports whether the object has a value. One that never existed has version 0.
func Exists(o platform.Object) bool {
	return o.Version > 0 && !o.Deleted
}

// Get returns an object, its tombstone, or version 0 if it never existed.
func (s *Store) Get(ctx context.Context, name string) (platform.Object, error) {
	o, err := s.objects.Get(ctx, name)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return platform.Object{Name: name, Version: missing.Version, Author: missing.Author, Deleted: missing.Version > 0}, nil
	}
	return o, err
}

// List returns the objects that exist and whose names begin with the prefix.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Object, error) {
	all, _, err := s.objects.List(ctx, prefix)
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

// Change reads an object, edits it and writes it. An edit that returns nil deletes the object.
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
	write := s.objects.Put
	if value == nil {
		write = s.objects.Delete
	}
	version, err := write(ctx, u)
	if err != nil {
		return platform.Object{}, explain(u, err)
	}
	return platform.Object{Name: name, Version: version, Deleted: value == nil, Value: value, Author: u.Author, Change: u.Change}, nil
}

// explain says what became of an update that was not confirmed.
func explain(u platform.Update, err error) error {
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && !conflict.Uncertain {
		return fmt.Errorf("lost a race, nothing was changed; version %d of %s was read: %w", u.IfVersion, u.Name, err)
	}
	if IsUnknown(err) {
		return fmt.Errorf("outcome unknown of change %s of %s, version %d was read: %w", u.Change, u.Name, u.IfVersion, err)
	}
	return fmt.Errorf("write %s, nothing was changed: %w", u.Name, err)
}

// IsUnknown reports whether an update may have taken effect although it has failed.
func IsUnknown(err error) bool {
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	return errors.As(err, &conflict) && conflict.Uncertain || errors.As(err, &unavailable) && unavailable.Uncertain
}
