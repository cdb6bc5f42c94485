// Package execution keeps the record of every request that reached the server,
// so that a test can check afterwards what ran where and when.
//
// # Usage
//
//	number := l.Append(execution.Record{Key: key, Result: execution.Ran})
//	records, dropped := l.After(0, 1000)
package execution

import "sync"

// Log holds the newest records in memory.
type Log struct {
	limit int

	mu      sync.Mutex
	records []Record
	dropped uint64
}

// New returns an empty log that keeps at least limit records.
func New(limit int) *Log {
	return &Log{limit: limit}
}

// Append stores the record and returns its sequence number, counted from 1.
func (l *Log) Append(r Record) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.records) >= 2*l.limit {
		l.dropped += uint64(l.limit)
		l.records = append(l.records[:0], l.records[l.limit:]...)
	}
	r.Sequence = l.dropped + uint64(len(l.records)) + 1
	l.records = append(l.records, r)
	return r.Sequence
}

// After returns up to limit records with a greater sequence number, and how many records have been dropped.
func (l *Log) After(sequence uint64, limit int) ([]Record, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sequence < l.dropped {
		sequence = l.dropped
	}
	first := min(int(sequence-l.dropped), len(l.records))
	last := min(first+limit, len(l.records))
	return append([]Record(nil), l.records[first:last]...), l.dropped
}
