package election

import (
	"net/netip"

	"bramleystand.org/common/revision"
)

// Member is an entry process.
type Member struct {
	Name        string
	Incarnation int64
	DataCentre  string
	Address     netip.AddrPort
}

// Lock is the object in the store that names the coordinator.
type Lock struct {
	// Term rises with each change of the holder.
	Term uint64
	// Holder is the coordinator. Its name is empty after it has resigned.
	Holder Member
	// Former is the process that has resigned, while there is no holder. It may not know that the store has
	// accepted its resignation, and renews grants until it does.
	Former Member
	// Heartbeat rises while the holder is alive.
	Heartbeat uint64
	// Era is the era of the store in which the lock was written, as its writer knew it.
	Era uint64
	// Settled says that all grants of coordinators of earlier eras have expired.
	Settled bool
}

// era returns the era in which the lock was written.
func (l Lock) era() uint64 { return max(l.Era, revision.FirstEra) }
