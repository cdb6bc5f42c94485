// Package execution records every request that reached the server, so that a test
// can check afterwards which server ran it and when.
//
// # Usage
//
//	sequence := l.Append(execution.Record{Key: key, Result: execution.Ran})
//	records, dropped := l.After(0, 1000)
package execution

import "sync"

// Log holds the newest records in memory. It is safe for concurrent use.
type Log struct {
	minRecords int

	mu      sync.Mutex
	records []Record
	dropped uint64
}

// New returns an empty log that keeps at least the newest minRecords records.
func New(minRecords int) *Log {
	return &Log{minRecords: minRecords}
}

// Append stores the record and returns its sequence number, counted from 1.
func (l *Log) Append(r Record) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.records) >= 2*l.minRecords {
		l.dropped += uint64(l.minRecords)
		l.records = append(l.records[:0], l.records[l.minRecords:]...)
	}
	r.Sequence = l.dropped + uint64(len(l.records)) + 1
	l.records = append(l.records, r)
	return r.Sequence
}

// After returns up to limit records with a sequence number above the given one, and
// the number of records that have been dropped.
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
