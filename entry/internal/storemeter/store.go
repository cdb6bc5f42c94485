// Package storemeter counts the calls to the platform's store, each of which has a price.
//
// # Usage
//
//	store := storemeter.New(platform.NewStore(address, client))
//	m.Set("store", expvar.Func(func() any { return store.Counts() }))
package storemeter

import (
	"context"
	"errors"
	"sync"
	"time"

	"bramleystand.org/platform"
)

// Calls are the calls that are counted.
type Calls interface {
	List(ctx context.Context, kind string) ([]platform.Object, uint64, error)
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]platform.Event, uint64, error)
	Put(ctx context.Context, kind string, o platform.Object) (platform.Object, error)
}

// Store passes calls on and counts them. It is safe for concurrent use.
type Store struct {
	calls Calls

	mu     sync.Mutex
	counts map[string]int
}

// New returns a store without counts.
func New(c Calls) *Store { return &Store{calls: c, counts: make(map[string]int)} }

// Counts returns the calls by name and how they ended: "list", "list failed" and so on. Answers
// that an object is missing or has changed are not failures.
func (s *Store) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.counts))
	for name, n := range s.counts {
		out[name] = n
	}
	return out
}

// note counts a call.
func (s *Store) note(name string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name]++
	if err == nil || errors.Is(err, platform.ErrMissing) || errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrCompacted) {
		return
	}
	s.counts[name+" failed"]++
}

// List reads all objects of a kind.
func (s *Store) List(ctx context.Context, kind string) ([]platform.Object, uint64, error) {
	objects, revision, err := s.calls.List(ctx, kind)
	s.note("list", err)
	return objects, revision, err
}

// Get reads one object.
func (s *Store) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	o, err := s.calls.Get(ctx, kind, name)
	s.note("get", err)
	return o, err
}

// Watch waits for changes.
func (s *Store) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]platform.Event, uint64, error) {
	events, next, err := s.calls.Watch(ctx, kind, after, wait)
	s.note("watch", err)
	return events, next, err
}

// Put writes an object on the condition of its revision.
func (s *Store) Put(ctx context.Context, kind string, o platform.Object) (platform.Object, error) {
	stored, err := s.calls.Put(ctx, kind, o)
	s.note("put", err)
	return stored, err
}
