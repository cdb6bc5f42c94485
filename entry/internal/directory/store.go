package directory

import (
	"time"

	"bramleystand.org/entry/internal/control"
)

const (
	buckets = 64
	// recentFor exceeds the time in which a change reaches all directories, so that
	// two directories that miss each other's latest changes find them without comparing buckets.
	recentFor = 5 * time.Second
	// maxRecent bounds the marks in a message after many changes at once; the bucket comparison finds the rest.
	maxRecent = 256
	// expireEvery is the time between searches for expired items.
	expireEvery = time.Second
)

// store holds the newest version of each item in buckets, with a hash over each bucket.
// A hash is the sum of the hashes of its items, so that one change updates it at once.
type store struct {
	items      [buckets]map[uint64]item
	hashes     [buckets]uint64
	recent     []learned
	nextExpiry time.Time
}

// learned says when a version arrived here.
type learned struct {
	mark control.Mark
	at   time.Time
}

func newStore() store {
	var s store
	for b := range s.items {
		s.items[b] = map[uint64]item{}
	}
	return s
}

func bucketOf(key uint64) uint16 {
	return uint16(key % buckets)
}

func (s *store) get(key uint64) (item, bool) {
	i, ok := s.items[bucketOf(key)][key]
	return i, ok
}

// put stores the item if it is newer than what the store holds and has not expired.
func (s *store) put(now time.Time, i item) bool {
	old, known := s.get(i.mark.Key)
	if known && !i.mark.Newer(old.mark) || i.expired(now) {
		return false
	}
	b := bucketOf(i.mark.Key)
	if known {
		s.hashes[b] -= old.hash()
	}
	s.items[b][i.mark.Key] = i
	s.hashes[b] += i.hash()
	s.recent = append(s.recent, learned{i.mark, now})
	return true
}

// expire removes expired items and returns them.
func (s *store) expire(now time.Time) []item {
	if now.Before(s.nextExpiry) {
		return nil
	}
	s.nextExpiry = now.Add(expireEvery)
	var removed []item
	for b := range s.items {
		for key, i := range s.items[b] {
			if i.expired(now) {
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

// recentMarks returns the current marks of the items that were learned in the last seconds.
func (s *store) recentMarks(now time.Time) []control.Mark {
	first := 0
	for first < len(s.recent) && now.Sub(s.recent[first].at) >= recentFor {
		first++
	}
	s.recent = s.recent[max(first, len(s.recent)-maxRecent):]
	var marks []control.Mark
	for _, l := range s.recent {
		// A later version of the same item has an entry of its own.
		if i, ok := s.get(l.mark.Key); ok && i.mark == l.mark {
			marks = append(marks, l.mark)
		}
	}
	return marks
}
