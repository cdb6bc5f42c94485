// Package store changes objects of the platform so that operators who race one
// another, lost answers and outages are told apart.
//
// A change is written with a conditional update on the version that was read. The
// outcome is one of: done; a *LostRaceError with the version and author that won;
// ErrUnavailable if the platform surely did not change anything; ErrUnknown if its
// answer was lost and the object does not show what happened.
//
// # Usage
//
//	s := store.New(objects, "mika")
//	o, err := s.Change(ctx, "preset", func(o store.Object) ([]byte, error) {
//		return edit(o.Value)
//	})
package store

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"
)

// retryPause is the time between attempts to find out what became of a change.
const retryPause = 200 * time.Millisecond

// Object is one version of an object of the platform. An object that never existed has version 0.
type Object struct {
	Name    string
	Version int64
	Deleted bool
	Value   []byte
	Author  string
	// Change identifies the write that made this version.
	Change string
}

// Exists reports whether the object has a value.
func (o Object) Exists() bool {
	return o.Version > 0 && !o.Deleted
}

// Objects is the object API of the platform. Its errors are ErrUnavailable for a request
// that had no effect and ErrConflict for a version that is not the current one; after any
// other error the request may have taken effect.
type Objects interface {
	// Get returns version 0 for an object that never existed, and tombstones.
	Get(ctx context.Context, name string) (Object, error)
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes o with the given version as the condition, and a tombstone if o.Deleted is set.
	Put(ctx context.Context, o Object) (Object, error)
}

// The outcomes of a request other than success.
var (
	ErrUnavailable = errors.New("platform unavailable, nothing was changed")
	ErrConflict    = errors.New("the object has another version")
	ErrUnknown     = errors.New("outcome unknown")
)

// LostRaceError says whose change came first.
type LostRaceError struct {
	Read    int64
	Current Object
}

// Error names the current version and its author.
func (e *LostRaceError) Error() string {
	return fmt.Sprintf("lost a race for %s: version %d was read, but version %d by %q is in force; nothing was changed",
		e.Current.Name, e.Read, e.Current.Version, e.Current.Author)
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

// Get returns an object, with version 0 if it never existed.
func (s *Store) Get(ctx context.Context, name string) (Object, error) {
	return s.objects.Get(ctx, name)
}

// List returns the objects that exist and whose names begin with the prefix.
func (s *Store) List(ctx context.Context, prefix string) ([]Object, error) {
	all, err := s.objects.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	var existing []Object
	for _, o := range all {
		if o.Exists() {
			existing = append(existing, o)
		}
	}
	return existing, nil
}

// Change reads an object, edits it and writes it on the condition that nobody else did so
// meanwhile. An edit that returns nil deletes the object.
func (s *Store) Change(ctx context.Context, name string, edit func(Object) ([]byte, error)) (Object, error) {
	current, err := s.objects.Get(ctx, name)
	if err != nil {
		return Object{}, fmt.Errorf("read %s: %w: %w", name, ErrUnavailable, err)
	}
	value, err := edit(current)
	if err != nil {
		return Object{}, err
	}
	return s.write(ctx, Object{
		Name: name, Version: current.Version, Value: value, Deleted: value == nil,
		Author: s.author, Change: rand.Text(),
	})
}

// write puts the object and repeats the same conditional update after a lost answer. The
// condition makes the repetition harmless, and the change identifier tells whether the
// version that is in the way is its own.
func (s *Store) write(ctx context.Context, o Object) (Object, error) {
	lost := false
	for {
		written, err := s.objects.Put(ctx, o)
		switch {
		case err == nil:
			return written, nil
		case errors.Is(err, ErrConflict):
			if done, decided, err := s.settle(ctx, o, lost); decided {
				return done, err
			}
		case errors.Is(err, ErrUnavailable) && !lost:
			return Object{}, fmt.Errorf("write %s: %w", o.Name, err)
		case !errors.Is(err, ErrUnavailable):
			lost = true
		}
		if !pause(ctx) {
			return Object{}, fmt.Errorf("write %s as change %s on version %d: %w: %w", o.Name, o.Change, o.Version, ErrUnknown, context.Cause(ctx))
		}
	}
}

// settle reads the object after a conflict. It returns false if the platform did not say.
func (s *Store) settle(ctx context.Context, o Object, lost bool) (Object, bool, error) {
	current, err := s.objects.Get(ctx, o.Name)
	if err != nil {
		return Object{}, false, nil
	}
	if current.Change == o.Change && current.Author == o.Author {
		return current, true, nil
	}
	if lost {
		// The change may have been in force before the current version replaced it.
		return Object{}, true, fmt.Errorf("write %s: the answer was lost and version %d by %q is in force now: %w",
			o.Name, current.Version, current.Author, ErrUnknown)
	}
	return Object{}, true, &LostRaceError{Read: o.Version, Current: current}
}

// pause returns false if the context ends first.
func pause(ctx context.Context) bool {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
