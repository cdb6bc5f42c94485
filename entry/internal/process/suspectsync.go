package process

import (
	"encoding/binary"
	"strconv"
	"time"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/directory"
	"bramleystand.org/entry/internal/suspect"
)

// suspectInterval is the time between two calls of syncSuspects.
const suspectInterval = 100 * time.Millisecond

// verdictBits is the number of low bits of an item's version that hold the verdict, below
// the entry's own version. Of two entries with equal versions, the one with the more severe
// verdict is therefore the newer item.
const verdictBits = 2

// syncSuspects publishes the verdicts of this process in the directory and merges those of
// others into its list.
func syncSuspects(now time.Time, suspects *suspect.List, d *directory.Directory) {
	for _, e := range suspects.Entries(now) {
		d.PutSuspect(now, encodeSuspect(now, e))
	}
	var entries []suspect.Entry
	for _, item := range d.Suspects(now) {
		if e, ok := decodeSuspect(now, item); ok {
			entries = append(entries, e)
		}
	}
	suspects.Merge(now, entries)
}

func encodeSuspect(now time.Time, e suspect.Entry) control.Suspect {
	return control.Suspect{
		Name:    strconv.FormatUint(uint64(e.Fingerprint), 16),
		Version: uint64(e.Version)<<verdictBits | uint64(e.Verdict),
		Value:   binary.BigEndian.AppendUint64(nil, uint64(e.Fingerprint)),
		Expires: now.Add(e.Remaining),
	}
}

func decodeSuspect(now time.Time, s control.Suspect) (suspect.Entry, bool) {
	if len(s.Value) != 8 {
		return suspect.Entry{}, false
	}
	return suspect.Entry{
		Fingerprint: suspect.Fingerprint(binary.BigEndian.Uint64(s.Value)),
		Verdict:     suspect.Verdict(s.Version & (1<<verdictBits - 1)),
		Version:     uint32(s.Version >> verdictBits),
		Remaining:   s.Expires.Sub(now),
	}, true
}
