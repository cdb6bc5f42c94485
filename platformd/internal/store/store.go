// Package store keeps versioned objects and the history of their changes.
//
// The versions of all objects come from one sequence. A deleted object leaves a
// tombstone, and its name can be used again only by a write that expects the
// tombstone's version, so that a delayed write never undoes a later one.
//
// # Usage
//
//	o, err := s.Write(store.Object{Name: "preset", Value: value, Author: "ada", Change: "c1"}, version)
//	changes, version, err := s.ChangesAfter("services/", version, 1000)
package store

import (
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrChangesUnknown is returned for a version whose later changes were discarded, and for one that
// the store has not reached.
var ErrChangesUnknown = eris.New("store: changes after this version are not known")

// Store holds objects in memory.
type Store struct {
	history int

	mu      sync.Mutex
	version int64
	objects map[string]Object
	// changes holds the changes with the versions discarded+1 to version.
	changes   []Object
	discarded int64
	changed   chan struct{}
}

// New returns an empty store that keeps at least the given number of past changes.
func New(history int) *Store {
	return &Store{history: history, objects: make(map[string]Object), changed: make(chan struct{})}
}

// Write stores an object, or a tombstone, if the current version is the expected one, and returns it
// with its new version. The expected version of a name that was never used is 0. Otherwise the error
// is a *ConflictError; deleting an object that does not exist is a conflict too.
func (s *Store) Write(o Object, expected int64) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[o.Name]
	if current.Version != expected || o.Deleted && (current.Deleted || expected == 0) {
		current.Name = o.Name
		return Object{}, &ConflictError{Current: current, Expected: expected}
	}
	s.version++
	o.Version = s.version
	s.objects[o.Name] = o
	if len(s.changes) >= 2*s.history {
		s.discarded += int64(s.history)
		s.changes = slices.Delete(s.changes, 0, s.history)
	}
	s.changes = append(s.changes, o)
	close(s.changed)
	s.changed = make(chan struct{})
	return o, nil
}

// Read returns an object or its tombstone, and false if the name was never used.
func (s *Store) Read(name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	return o, ok
}

// List returns the objects and tombstones whose names have the prefix, sorted by name, and the
// latest version of the store.
func (s *Store) List(prefix string) ([]Object, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []Object{}
	for _, o := range s.objects {
		if strings.HasPrefix(o.Name, prefix) {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	return list, s.version
}

// ChangesAfter returns up to limit changes after the version to objects whose names have the
// prefix, and the version up to which these are all changes.
func (s *Store) ChangesAfter(prefix string, version int64, limit int) ([]Object, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.discarded || version > s.version {
		return nil, s.version, ErrChangesUnknown
	}
	list := []Object{}
	for _, o := range s.changes[version-s.discarded:] {
		if !strings.HasPrefix(o.Name, prefix) {
			continue
		}
		if len(list) == limit {
			return list, list[limit-1].Version, nil
		}
		list = append(list, o)
	}
	return list, s.version, nil
}

// Changed returns a channel that is closed at the next change. It must be called before
// ChangesAfter, because a change between the two calls would be missed otherwise.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
