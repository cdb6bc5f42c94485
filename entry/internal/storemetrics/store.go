// Package storemetrics counts the calls to the platform's store, each of which has a price, and logs
// when the store has been restored from a copy.
//
// # Usage
//
//	store := storemetrics.New(platform.NewStore(address, client), logger)
//	m.Set("store", expvar.Func(func() any { return store.Counts() }))
package storemetrics

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"bramleystand.org/platform"
)

// ObjectStore is the store whose calls are counted; *platform.Store is one.
type ObjectStore interface {
	List(ctx context.Context, kind string) ([]platform.Object, uint64, error)
	ListStale(ctx context.Context, kind string) ([]platform.Object, uint64, error)
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	GetStale(ctx context.Context, kind, name string) (platform.Object, error)
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]platform.Event, uint64, error)
	Put(ctx context.Context, kind string, o platform.Object) (platform.Object, error)
	Era() uint64
}

// Store passes calls to an ObjectStore and counts them. It is safe for concurrent use.
type Store struct {
	store  ObjectStore
	logger log.Interface

	mu     sync.Mutex
	counts map[string]int
	// era is the store's era after the latest successful call; it is valid if responded is true.
	era       uint64
	responded bool
}

// New returns a store that counts the calls to another one.
func New(s ObjectStore, logger log.Interface) *Store {
	return &Store{store: s, logger: logger, counts: make(map[string]int)}
}

// Era returns the number of times that the store has been restored from a copy.
func (s *Store) Era() uint64 { return s.store.Era() }

// Counts returns the number of calls by name: all of them under "list" and so on, the failed ones under
// "list failed" and so on. A missing object, a conflict and dropped history are not failures, because the
// store has responded.
func (s *Store) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.counts))
	for name, n := range s.counts {
		out[name] = n
	}
	return out
}

// record counts a call and its failure.
func (s *Store) record(name string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.recordEra(s.store.Era())
	}
	s.counts[name]++
	if err == nil || errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrCompacted) {
		return
	}
	s.counts[name+" failed"]++
}

// recordEra logs that the store has been restored since the previous call. The lock is held.
func (s *Store) recordEra(era uint64) {
	if s.responded && era > s.era {
		s.logger.WithField("era", era).WithField("previous", s.era).Warn("store restored from a copy")
	}
	s.era, s.responded = era, true
}

// List reads all objects of a kind.
func (s *Store) List(ctx context.Context, kind string) ([]platform.Object, uint64, error) {
	objects, revision, err := s.store.List(ctx, kind)
	s.record("list", err)
	return objects, revision, err
}

// ListStale reads all objects of a kind as they may have been seconds ago.
func (s *Store) ListStale(ctx context.Context, kind string) ([]platform.Object, uint64, error) {
	objects, revision, err := s.store.ListStale(ctx, kind)
	s.record("stale list", err)
	return objects, revision, err
}

// GetStale reads one object as it may have been seconds ago.
func (s *Store) GetStale(ctx context.Context, kind, name string) (platform.Object, error) {
	o, err := s.store.GetStale(ctx, kind, name)
	s.record("stale get", err)
	return o, err
}

// Get reads one object.
func (s *Store) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	o, err := s.store.Get(ctx, kind, name)
	s.record("get", err)
	return o, err
}

// Watch waits for changes of a kind after a revision.
func (s *Store) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]platform.Event, uint64, error) {
	events, next, err := s.store.Watch(ctx, kind, after, wait)
	s.record("watch", err)
	return events, next, err
}

// Put writes an object if the stored one still has its revision.
func (s *Store) Put(ctx context.Context, kind string, o platform.Object) (platform.Object, error) {
	stored, err := s.store.Put(ctx, kind, o)
	s.record("put", err)
	return stored, err
}
