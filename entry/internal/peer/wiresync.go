package peer

import (
	"time"

	"bramleystand.org/entry/internal/control"
)

type wireMark struct {
	_    struct{} `cbor:",toarray"`
	Key  uint64
	High uint64
	Low  uint64
}

type wireObject struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Version int64
	Deleted bool
	Value   []byte
}

type wireAnnouncement struct {
	_       struct{} `cbor:",toarray"`
	Member  wireMember
	Beat    uint32
	Leaving bool
	Silent  bool
	// Age is the time since the member was reported as silent, in nanoseconds. It is relative,
	// because the clocks of two VMs differ.
	Age int64
}

type wireSuspect struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Version uint64
	Value   []byte
	// Remaining is the time until the entry expires, in nanoseconds.
	Remaining int64
}

type wireSync struct {
	_        struct{} `cbor:",toarray"`
	Hash     uint64
	Recent   []wireMark
	Buckets  []uint64
	Covered  []uint16
	Marks    []wireMark
	Wants    []uint64
	Objects  []wireObject
	Tables   []*wireTable
	Members  []wireAnnouncement
	Suspects []wireSuspect
}

func encodeMark(m control.Mark) wireMark { return wireMark{Key: m.Key, High: m.High, Low: m.Low} }

func decodeMark(w wireMark) control.Mark { return control.Mark{Key: w.Key, High: w.High, Low: w.Low} }

func encodeSync(s control.Sync) *wireSync {
	now := time.Now()
	return &wireSync{
		Hash: s.Hash, Recent: mapAll(s.Recent, encodeMark), Buckets: s.Buckets, Covered: s.Covered,
		Marks: mapAll(s.Marks, encodeMark), Wants: s.Wants,
		Objects: mapAll(s.Objects, func(o control.Object) wireObject {
			return wireObject{Name: o.Name, Version: o.Version, Deleted: o.Deleted, Value: o.Value}
		}),
		Tables: mapAll(s.Tables, func(t control.Table) *wireTable { return encodeTable(&t) }),
		Members: mapAll(s.Members, func(a control.Announcement) wireAnnouncement {
			w := wireAnnouncement{Member: encodeMember(a.Member), Beat: a.Beat, Leaving: a.Leaving, Silent: a.Silent}
			if a.Silent {
				w.Age = int64(now.Sub(a.Since))
			}
			return w
		}),
		Suspects: mapAll(s.Suspects, func(e control.Suspect) wireSuspect {
			return wireSuspect{Name: e.Name, Version: e.Version, Value: e.Value, Remaining: int64(e.Expires.Sub(now))}
		}),
	}
}

func decodeSync(w *wireSync) control.Sync {
	now := time.Now()
	return control.Sync{
		Hash: w.Hash, Recent: mapAll(w.Recent, decodeMark), Buckets: w.Buckets, Covered: w.Covered,
		Marks: mapAll(w.Marks, decodeMark), Wants: w.Wants,
		Objects: mapAll(w.Objects, func(o wireObject) control.Object {
			return control.Object{Name: o.Name, Version: o.Version, Deleted: o.Deleted, Value: o.Value}
		}),
		Tables: mapAll(w.Tables, func(t *wireTable) control.Table { return *decodeTable(t) }),
		Members: mapAll(w.Members, func(a wireAnnouncement) control.Announcement {
			d := control.Announcement{Member: decodeMember(a.Member), Beat: a.Beat, Leaving: a.Leaving, Silent: a.Silent}
			if a.Silent {
				d.Since = now.Add(-time.Duration(a.Age))
			}
			return d
		}),
		Suspects: mapAll(w.Suspects, func(e wireSuspect) control.Suspect {
			return control.Suspect{Name: e.Name, Version: e.Version, Value: e.Value, Expires: now.Add(time.Duration(e.Remaining))}
		}),
	}
}
