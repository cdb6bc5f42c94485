// Package keyspace defines the keys of sharded services and ranges of keys.
//
// # Usage
//
//	all := keyspace.Range{First: 0, Last: keyspace.Last}
//	if all.Contains(key) {
//		...
//	}
package keyspace

// Last is the largest key.
const Last Key = 1<<16 - 1

// KeyCount is the number of keys.
const KeyCount = 1 << 16

// Key is a key of a sharded service, from 0 to Last.
type Key uint16

// Range is an interval of keys that includes both ends.
type Range struct {
	First, Last Key
}

// Contains reports whether the key lies in the range.
func (r Range) Contains(k Key) bool { return r.First <= k && k <= r.Last }

// Size returns the number of keys in the range.
func (r Range) Size() int { return int(r.Last) - int(r.First) + 1 }
