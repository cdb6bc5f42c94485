package directory

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleystand.org/entry/internal/control"
)

// silenceRetention is how long a report of silence is kept. A process that was paused
// for less than this can't bring back a member that the others have removed.
const silenceRetention = time.Hour

// item is one version of one object, table, member or suspect entry; exactly one of the pointers is set.
type item struct {
	version control.ItemVersion
	expires time.Time
	object  *control.Object
	table   *control.Table
	member  *control.Announcement
	suspect *control.Suspect
	// wireValue is the value of the object as it is sent, compressed if that saves bytes.
	wireValue []byte
}

func itemKey(kind, name string) uint64 {
	return xxhash.Sum64String(kind + "\x00" + name)
}

func objectItem(o control.Object) item {
	return item{
		version:   objectVersion(o),
		object:    &o,
		wireValue: compress(o.Value),
	}
}

// receivedItem returns the item of an object from a message, whose value may be compressed.
func receivedItem(o control.Object) (item, error) {
	value, err := decompress(o.Value)
	if err != nil {
		return item{}, err
	}
	i := item{version: objectVersion(o), wireValue: o.Value}
	o.Value = value
	i.object = &o
	return i, nil
}

func objectVersion(o control.Object) control.ItemVersion {
	return control.ItemVersion{Key: itemKey("object", o.Name), High: uint64(o.Version)}
}

func tableItem(t control.Table) item {
	return item{
		version: control.ItemVersion{Key: itemKey("table", t.Pair.String()), High: uint64(t.Term), Low: t.Sequence},
		table:   &t,
	}
}

// memberItem orders announcements by incarnation and sequence number. A report of silence is newer than the
// announcement that it is about and older than the one with the next sequence number.
func memberItem(a control.Announcement) item {
	i := item{
		version: control.ItemVersion{Key: itemKey("member", a.Member.Name), High: uint64(a.Member.Incarnation), Low: uint64(a.SequenceNumber) << 1},
		member:  &a,
	}
	if a.Silent {
		i.version.Low |= 1
		i.expires = a.SilentSince.Add(silenceRetention)
	}
	return i
}

// suspectItem orders entries of the same version by the hash of their value, so that all directories keep the same one.
func suspectItem(s control.Suspect) item {
	return item{
		version: control.ItemVersion{Key: itemKey("suspect", s.Name), High: s.Version, Low: xxhash.Sum64(s.Value)},
		expires: s.Expires,
		suspect: &s,
	}
}

func (i *item) isExpired(now time.Time) bool {
	return !i.expires.IsZero() && !now.Before(i.expires)
}

// hash returns a hash of the key and the version.
func (i *item) hash() uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], i.version.Key)
	binary.LittleEndian.PutUint64(b[8:], i.version.High)
	binary.LittleEndian.PutUint64(b[16:], i.version.Low)
	return xxhash.Sum64(b[:])
}

// size estimates the size of the item in a message in bytes.
func (i *item) size() int {
	const itemOverhead, placementOverhead = 64, 96
	switch {
	case i.object != nil:
		return itemOverhead + len(i.object.Name) + len(i.wireValue)
	case i.table != nil:
		n := itemOverhead
		for _, p := range i.table.Placements {
			n += placementOverhead + 3*len(p.Shards)
		}
		return n
	case i.suspect != nil:
		return itemOverhead + len(i.suspect.Name) + len(i.suspect.Value)
	}
	return itemOverhead
}
