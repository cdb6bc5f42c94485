package peer

import (
	"time"

	"bramleystand.org/entry/internal/control"
)

type wireItemVersion struct {
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
	_              struct{} `cbor:",toarray"`
	Member         wireMember
	SequenceNumber uint32
	Leaving        bool
	Silent         bool
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
	_              struct{} `cbor:",toarray"`
	Hash           uint64
	RecentVersions []wireItemVersion
	Buckets        []uint64
	ListedBuckets  []uint16
	ItemVersions   []wireItemVersion
	RequestedKeys  []uint64
	Objects        []wireObject
	Tables         []*wireTable
	Members        []wireAnnouncement
	Suspects       []wireSuspect
}

func encodeItemVersion(m control.ItemVersion) wireItemVersion {
	return wireItemVersion{Key: m.Key, High: m.High, Low: m.Low}
}

func decodeItemVersion(w wireItemVersion) control.ItemVersion {
	return control.ItemVersion{Key: w.Key, High: w.High, Low: w.Low}
}

func encodeSync(s control.Sync) *wireSync {
	now := time.Now()
	return &wireSync{
		Hash: s.Hash, RecentVersions: mapAll(s.RecentVersions, encodeItemVersion), Buckets: s.Buckets, ListedBuckets: s.ListedBuckets,
		ItemVersions: mapAll(s.ItemVersions, encodeItemVersion), RequestedKeys: s.RequestedKeys,
		Objects: mapAll(s.Objects, func(o control.Object) wireObject {
			return wireObject{Name: o.Name, Version: o.Version, Deleted: o.Deleted, Value: o.Value}
		}),
		Tables: mapAll(s.Tables, func(t control.Table) *wireTable { return encodeTable(&t) }),
		Members: mapAll(s.Members, func(a control.Announcement) wireAnnouncement {
			w := wireAnnouncement{Member: encodeMember(a.Member), SequenceNumber: a.SequenceNumber, Leaving: a.Leaving, Silent: a.Silent}
			if a.Silent {
				w.Age = int64(now.Sub(a.SilentSince))
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
		Hash: w.Hash, RecentVersions: mapAll(w.RecentVersions, decodeItemVersion), Buckets: w.Buckets, ListedBuckets: w.ListedBuckets,
		ItemVersions: mapAll(w.ItemVersions, decodeItemVersion), RequestedKeys: w.RequestedKeys,
		Objects: mapAll(w.Objects, func(o wireObject) control.Object {
			return control.Object{Name: o.Name, Version: o.Version, Deleted: o.Deleted, Value: o.Value}
		}),
		Tables: mapAll(w.Tables, func(t *wireTable) control.Table { return *decodeTable(t) }),
		Members: mapAll(w.Members, func(a wireAnnouncement) control.Announcement {
			d := control.Announcement{Member: decodeMember(a.Member), SequenceNumber: a.SequenceNumber, Leaving: a.Leaving, Silent: a.Silent}
			if a.Silent {
				d.SilentSince = now.Add(-time.Duration(a.Age))
			}
			return d
		}),
		Suspects: mapAll(w.Suspects, func(e wireSuspect) control.Suspect {
			return control.Suspect{Name: e.Name, Version: e.Version, Value: e.Value, Expires: now.Add(time.Duration(e.Remaining))}
		}),
	}
}
