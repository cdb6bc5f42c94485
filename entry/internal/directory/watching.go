package directory

import (
	"github.com/cespare/xxhash/v2"

	"bramleystand.org/entry/internal/control"
)

// watchers is the number of members per data centre that watch the platform.
const watchers = 2

// Watching reports whether this member is one of those of its data centre that watch the platform.
func (d *Directory) Watching() bool {
	return d.snapshot.Load().watching
}

// isWatcher ranks the live members of the own data centre by a hash of their names, so that
// a member that joins or leaves moves at most one watch. If all members leave, each one
// watches until the end.
func isWatcher(self control.Member, live []control.Member) bool {
	if len(live) == 0 {
		return true
	}
	own, before, found := watchRank(self), 0, false
	for _, m := range live {
		found = found || m == self
		if watchRank(m) < own {
			before++
		}
	}
	return found && before < watchers
}

func watchRank(m control.Member) uint64 {
	return xxhash.Sum64String("watch\x00" + m.Name)
}
