package cluster

import (
	"sync"
	"time"

	"bramleystand.org/entry/internal/report"
)

// snapshotLifetime is how long a snapshot is sent to further processes. Hundreds of them may start at once while
// the store can't be reached.
const snapshotLifetime = 500 * time.Millisecond

// snapshotCache keeps the encoded objects of a process. It is safe for concurrent use; the lock of the replica
// is acquired while its own is held.
type snapshotCache struct {
	mu      sync.Mutex
	until   time.Time
	objects []report.Object
}

// get returns the encoded objects, which it reads again when the kept ones are too old.
func (c *snapshotCache) get(now time.Time, read func() []report.Object) ([]report.Object, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.until) {
		return c.objects, nil
	}
	var b wireBundle
	for _, o := range read() {
		b.Objects = append(b.Objects, wireBundled{Kind: o.Kind, Name: o.Name, Revision: o.Revision, Data: o.Data})
	}
	objects, err := encodeBundle(b)
	if err != nil {
		return nil, err
	}
	c.objects, c.until = objects, now.Add(snapshotLifetime)
	return objects, nil
}

// UnpackSnapshot returns the objects of a snapshot.
func UnpackSnapshot(objects []report.Object) ([]report.Object, error) {
	var out []report.Object
	for _, o := range objects {
		several, err := unbundle(o)
		if err != nil {
			return nil, err
		}
		out = append(out, several...)
	}
	return out, nil
}
