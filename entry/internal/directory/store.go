package directory

import (
	"time"

	"bramleystand.org/entry/internal/control"
)

const (
	bucketCount = 64
	// recentWindow is longer than a change takes to reach all directories, so that two
	// directories find each other's latest changes without comparing buckets.
	recentWindow = 5 * time.Second
	// maxRecent bounds the recent versions in a message after many changes at once; the comparison of buckets finds the rest.
	maxRecent = 256
	// expireInterval is the time between searches for expired items.
	expireInterval = time.Second
)

// store holds the newest version of each item in buckets, with a hash of each bucket.
// The hash is the sum of the hashes of the items, so that a change of one item updates
// it without reading the others.
type store struct {
	items      [bucketCount]map[uint64]item
	hashes     [bucketCount]uint64
	recent     []receivedVersion
	nextExpiry time.Time
}

// receivedVersion records when a version was stored here.
type receivedVersion struct {
	version control.ItemVersion
	at      time.Time
}

func newStore() store {
	var s store
	for b := range s.items {
		s.items[b] = map[uint64]item{}
	}
	return s
}

func bucketOf(key uint64) uint16 {
	return uint16(key % bucketCount)
}

func (s *store) get(key uint64) (item, bool) {
	i, ok := s.items[bucketOf(key)][key]
	return i, ok
}

// put stores the item if it is newer than what the store holds and has not expired.
func (s *store) put(now time.Time, i item) bool {
	old, known := s.get(i.version.Key)
	if known && !i.version.Newer(old.version) || i.isExpired(now) {
		return false
	}
	b := bucketOf(i.version.Key)
	if known {
		s.hashes[b] -= old.hash()
	}
	s.items[b][i.version.Key] = i
	s.hashes[b] += i.hash()
	s.recent = append(s.recent, receivedVersion{i.version, now})
	return true
}

// removeExpired removes expired items and returns them.
func (s *store) removeExpired(now time.Time) []item {
	if now.Before(s.nextExpiry) {
		return nil
	}
	s.nextExpiry = now.Add(expireInterval)
	var removed []item
	for b := range s.items {
		for key, i := range s.items[b] {
			if i.isExpired(now) {
				s.hashes[b] -= i.hash()
				delete(s.items[b], key)
				removed = append(removed, i)
			}
		}
	}
	return removed
}

func (s *store) hash() uint64 {
	var sum uint64
	for _, h := range s.hashes {
		sum += h
	}
	return sum
}

// recentVersions returns the versions of the items that were stored within recentWindow, and forgets older ones.
func (s *store) recentVersions(now time.Time) []control.ItemVersion {
	firstRecent := 0
	for firstRecent < len(s.recent) && now.Sub(s.recent[firstRecent].at) >= recentWindow {
		firstRecent++
	}
	s.recent = s.recent[max(firstRecent, len(s.recent)-maxRecent):]
	var versions []control.ItemVersion
	for _, l := range s.recent {
		// A version that was replaced since is left out; the later one has its own entry.
		if i, ok := s.get(l.version.Key); ok && i.version == l.version {
			versions = append(versions, l.version)
		}
	}
	return versions
}
