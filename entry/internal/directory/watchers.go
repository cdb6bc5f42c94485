package directory

import (
	"github.com/cespare/xxhash/v2"

	"bramleystand.org/entry/internal/control"
)

// watchersPerCentre is the number of members per data centre that watch the platform.
const watchersPerCentre = 2

// WatchesPlatform reports whether this member is one of those in its data centre that watch the platform.
func (d *Directory) WatchesPlatform() bool {
	return d.snapshot.Load().watchesPlatform
}

// shouldWatch ranks the live members of the own data centre by a hash of their names, so
// that a member that joins or leaves changes at most one of the watchers. If all members are
// leaving, each one watches until it stops.
func shouldWatch(self control.Member, live []control.Member) bool {
	if len(live) == 0 {
		return true
	}
	ownHash, lowerRanked, found := watchHash(self), 0, false
	for _, m := range live {
		found = found || m == self
		if watchHash(m) < ownHash {
			lowerRanked++
		}
	}
	return found && lowerRanked < watchersPerCentre
}

func watchHash(m control.Member) uint64 {
	return xxhash.Sum64String("watch\x00" + m.Name)
}
