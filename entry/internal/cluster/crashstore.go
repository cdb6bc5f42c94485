package cluster

import (
	"context"
	"errors"
	"sync"
	"time"

	"bramleystand.org/entry/internal/crashes"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/platform"
)

const (
	// crashKind and crashName identify the object in the store that holds the requests which crash servers.
	crashKind = "bramleystand-crashes"
	crashName = "requests"
	// crashStoreInterval is the time between two calls of the coordinator for that object.
	crashStoreInterval = time.Second
	// crashStoreTimeout bounds the write before the role is given up, which is to pass on quickly.
	crashStoreTimeout = 200 * time.Millisecond
	// maxCrashEntries is the number of requests in a report, in an update and in the store's object, which has
	// about 100 KB then.
	maxCrashEntries = 1024
)

// crashStore is the state of the coordinator's calls for the crashes in the store during one term. The node's
// lock protects it.
type crashStore struct {
	// read is true once the store's object has been read in this term or since it was last found to differ;
	// revision is then its revision.
	read     bool
	revision uint64
	// version is the version of the tracker that the store has.
	version  uint64
	pending  bool
	nextCall time.Time
}

// syncCrashes reads the crashes that earlier coordinators have written, once a term, and writes those that are
// new. The node's lock is held.
func (s *executor) syncCrashes(ctx context.Context, group *sync.WaitGroup, now time.Time) {
	c := &s.crashStore
	if c.pending || now.Before(c.nextCall) || c.read && c.version == s.node.crashes.Version() {
		return
	}
	c.pending, c.nextCall = true, now.Add(crashStoreInterval)
	call := s.writeCrashes
	if !c.read {
		call = s.readCrashes
	}
	group.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if err := call(bounded); err != nil {
			s.node.logger.WithError(err).Warn("crashes of requests not exchanged with the store")
		}
		s.node.mu.Lock()
		defer s.node.mu.Unlock()
		c.pending = false
	})
}

// readCrashes merges what the store has. Crashes that this process knows beyond that are written next.
func (s *executor) readCrashes(ctx context.Context) error {
	o, err := s.node.store.Get(ctx, crashKind, crashName)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	var merged uint64
	if err == nil {
		entries, err := crashes.Decode(o.Data)
		if err != nil {
			s.node.logger.WithError(err).Error("crashes of requests can't be decoded; they are replaced")
		}
		merged = s.node.crashes.Merge(time.Now(), entries)
	}
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	s.crashStore.read, s.crashStore.revision, s.crashStore.version = true, o.Revision, 0
	if s.node.crashes.Version() == merged {
		s.crashStore.version = merged
	}
	return nil
}

// writeCrashes replaces what the store has. If another coordinator has written it meanwhile, it is read again
// first.
func (s *executor) writeCrashes(ctx context.Context) error {
	entries, version := s.node.crashes.Latest(maxCrashEntries)
	data, err := crashes.Encode(entries)
	if err != nil {
		return err
	}
	s.node.mu.Lock()
	revision := s.crashStore.revision
	unneeded := len(entries) == 0 && revision == 0
	if unneeded {
		s.crashStore.version = version
	}
	s.node.mu.Unlock()
	if unneeded {
		return nil
	}
	o, err := s.node.store.Put(ctx, crashKind, platform.Object{Name: crashName, Revision: revision, Data: data})
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
		s.crashStore.read = false
		return nil
	}
	if err != nil {
		return err
	}
	s.crashStore.revision, s.crashStore.version = o.Revision, version
	return nil
}

// storeCrashes writes the crashes that the store does not have before the process gives up the role.
func (n *Node) storeCrashes(ctx context.Context) {
	n.mu.Lock()
	s := n.executor
	due := s != nil && s.crashStore.read && s.crashStore.version != n.crashes.Version()
	n.mu.Unlock()
	if !due {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, crashStoreTimeout)
	defer cancel()
	if err := s.writeCrashes(bounded); err != nil {
		n.logger.WithError(err).Warn("crashes of requests not written before the role is given up")
	}
}

// crashReports is what a process has reported of its crashes. Only the report loop uses it.
type crashReports struct {
	// to is the coordinator that has received the reports, and version that of the tracker which it has.
	to      election.Member
	version uint64
}

// unreportedCrashes returns the crashes that this process has observed and that the coordinator has not received.
// A new coordinator gets all of them, because it may not have what the former one has received.
func (n *Node) unreportedCrashes(coordinator election.Member) ([]crashes.Entry, uint64) {
	if coordinator != n.crashReports.to {
		n.crashReports = crashReports{to: coordinator}
	}
	return n.crashes.Observed(n.crashReports.version, maxCrashEntries)
}
