package election

import (
	"net/netip"
	"slices"
	"time"

	"bramleystand.org/common/revision"
)

// Member is an entry process.
type Member struct {
	Name        string
	Incarnation int64
	DataCentre  string
	Address     netip.AddrPort
}

// PastHolder is an earlier holder of the lock that may still act on its role, because it is not known to have
// stopped.
type PastHolder struct {
	// Member has no name if the process is not known. Nobody can ask it to stop then.
	Member
	// Confirmed is the latest time at which the process can have confirmed its role.
	Confirmed time.Time
}

// maxPastHolders limits the named past holders in a lock. Only a role that changes hands more than once a second
// leaves more of them within the time for which a holder acts without the store.
const maxPastHolders = 16

// Lock is the object in the store that names the coordinator.
type Lock struct {
	// Term rises with each change of the holder.
	Term uint64
	// Holder is the coordinator. Its name is empty after it has resigned.
	Holder Member
	// Former is the process that has resigned, while there is no holder. It may not know that the store has
	// accepted its resignation, and renews grants until it does.
	Former Member
	// PastHolders are all processes, other than Holder and Former, that have had the role and may still act on it.
	PastHolders []PastHolder
	// Heartbeat rises while the holder is alive.
	Heartbeat uint64
	// Era is the era of the store in which the lock was written, as its writer knew it.
	Era uint64
	// Settled says that all grants of coordinators of earlier eras have expired.
	Settled bool
}

// era returns the era in which the lock was written.
func (l Lock) era() uint64 { return max(l.Era, revision.FirstEra) }

// replaced returns the process that loses the role when another one takes the lock: the holder, or the one that
// has resigned.
func (l Lock) replaced() Member {
	if l.Holder.Name == "" {
		return l.Former
	}
	return l.Holder
}

// pastHoldersAfter returns the past holders that a process has to name when it takes the lock, whose present
// revision it first saw at a time. A process that takes the lock does not act on an earlier role of its own, and
// its earlier runs have ended.
func (l Lock) pastHoldersAfter(taker string, seen time.Time) []PastHolder {
	replaced := l.replaced()
	var out []PastHolder
	for _, p := range l.PastHolders {
		if p.Name == "" || p.Name != taker && p.Name != replaced.Name {
			out = append(out, p)
		}
	}
	if replaced.Name != "" && replaced.Name != taker {
		// The holder has sent its latest successful write before this process saw it.
		out = append(out, PastHolder{Member: replaced, Confirmed: seen})
	}
	return limitPastHolders(out)
}

// limitPastHolders replaces the names of the past holders that were confirmed first by one entry without a name
// if there are more than maxPastHolders. Nothing but time then shows that they have stopped.
func limitPastHolders(p []PastHolder) []PastHolder {
	if len(p) <= maxPastHolders {
		return p
	}
	slices.SortFunc(p, func(a, b PastHolder) int { return b.Confirmed.Compare(a.Confirmed) })
	return append(p[:maxPastHolders-1], PastHolder{Confirmed: p[maxPastHolders-1].Confirmed})
}
