package directory

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleystand.org/entry/internal/control"
)

// silentKept is how long a report of silence is kept. It is long enough that no
// paused process brings a forgotten member back after the others have dropped it.
const silentKept = time.Hour

// item is one version of one thing that directories spread; exactly one pointer is set.
type item struct {
	mark    control.Mark
	expires time.Time
	object  *control.Object
	table   *control.Table
	member  *control.Announcement
	suspect *control.Suspect
	// packed is the value of the object as it is sent.
	packed []byte
}

func keyOf(kind, name string) uint64 {
	return xxhash.Sum64String(kind + "\x00" + name)
}

func objectItem(o control.Object) item {
	return item{
		mark:   objectMark(o),
		object: &o,
		packed: pack(o.Value),
	}
}

// receivedItem returns the item of an object from a message.
func receivedItem(o control.Object) (item, error) {
	value, err := unpack(o.Value)
	if err != nil {
		return item{}, err
	}
	i := item{mark: objectMark(o), packed: o.Value}
	o.Value = value
	i.object = &o
	return i, nil
}

func objectMark(o control.Object) control.Mark {
	return control.Mark{Key: keyOf("object", o.Name), High: uint64(o.Version)}
}

func tableItem(t control.Table) item {
	return item{
		mark:  control.Mark{Key: keyOf("table", t.Pair.String()), High: uint64(t.Term), Low: t.Sequence},
		table: &t,
	}
}

// memberItem orders announcements by incarnation and beat; a report of silence follows the beat that it is about.
func memberItem(a control.Announcement) item {
	i := item{
		mark:   control.Mark{Key: keyOf("member", a.Member.Name), High: uint64(a.Member.Incarnation), Low: uint64(a.Beat) << 1},
		member: &a,
	}
	if a.Silent {
		i.mark.Low |= 1
		i.expires = a.Since.Add(silentKept)
	}
	return i
}

// suspectItem orders entries of the same version by their value, so that all directories keep the same one.
func suspectItem(s control.Suspect) item {
	return item{
		mark:    control.Mark{Key: keyOf("suspect", s.Name), High: s.Version, Low: xxhash.Sum64(s.Value)},
		expires: s.Expires,
		suspect: &s,
	}
}

func (i *item) expired(now time.Time) bool {
	return !i.expires.IsZero() && !now.Before(i.expires)
}

// hash covers the key and the version.
func (i *item) hash() uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], i.mark.Key)
	binary.LittleEndian.PutUint64(b[8:], i.mark.High)
	binary.LittleEndian.PutUint64(b[16:], i.mark.Low)
	return xxhash.Sum64(b[:])
}

// size estimates the bytes of the item in a message.
func (i *item) size() int {
	const perField, perPlacement = 64, 96
	switch {
	case i.object != nil:
		return perField + len(i.object.Name) + len(i.packed)
	case i.table != nil:
		n := perField
		for _, p := range i.table.Placements {
			n += perPlacement + 3*len(p.Shards)
		}
		return n
	case i.suspect != nil:
		return perField + len(i.suspect.Name) + len(i.suspect.Value)
	}
	return perField
}
