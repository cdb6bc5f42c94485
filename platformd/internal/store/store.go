// Package store keeps versioned objects and the history of their changes.
//
// All versions come from one sequence. A deleted object leaves a tombstone, and
// its name can only be used again by a write that names the tombstone's version,
// so that a delayed write never undoes a later one.
//
// # Usage
//
//	o, err := s.Write(store.Object{Name: "preset", Value: value, Author: "ada", Change: "c1"}, version)
//	events, version, err := s.After("services/", version, 1000)
package store

import (
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrHistory is returned for a version whose later changes are no longer, or not yet, known.
var ErrHistory = eris.New("store: changes after this version are not known")

// Store holds objects in memory.
type Store struct {
	limit int

	mu      sync.Mutex
	version int64
	objects map[string]Object
	// events holds the changes with the versions forgotten+1 to version.
	events    []Object
	forgotten int64
	changed   chan struct{}
}

// New returns an empty store that remembers at least the given number of changes.
func New(history int) *Store {
	return &Store{limit: history, objects: make(map[string]Object), changed: make(chan struct{})}
}

// Write stores an object, or a tombstone, if the present version is the wanted one; 0 stands for a name never used.
func (s *Store) Write(o Object, wanted int64) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[o.Name]
	if current.Version != wanted || o.Deleted && (current.Deleted || wanted == 0) {
		current.Name = o.Name
		return Object{}, &Conflict{Current: current, Wanted: wanted}
	}
	s.version++
	o.Version = s.version
	s.objects[o.Name] = o
	if len(s.events) >= 2*s.limit {
		s.forgotten += int64(s.limit)
		s.events = slices.Delete(s.events, 0, s.limit)
	}
	s.events = append(s.events, o)
	close(s.changed)
	s.changed = make(chan struct{})
	return o, nil
}

// Read returns an object, or its tombstone, and whether the name was ever used.
func (s *Store) Read(name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	return o, ok
}

// List returns the objects and tombstones whose names have the prefix, by name, and the version of this view.
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

// After returns up to limit changes to objects with the prefix that are later than
// the version, and the version up to which they are complete.
func (s *Store) After(prefix string, version int64, limit int) ([]Object, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.forgotten || version > s.version {
		return nil, s.version, ErrHistory
	}
	list := []Object{}
	for _, o := range s.events[version-s.forgotten:] {
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

// Changed returns a channel that is closed at the next change. It must be taken
// before After, so that no change falls in between.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
