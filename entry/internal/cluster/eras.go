package cluster

import (
	"time"

	"bramleystand.org/common/revision"
	"bramleystand.org/entry/internal/coordinator"
	"bramleystand.org/entry/internal/report"
)

// storeEra is the latest era of the store that the process knows.
type storeEra struct {
	latest uint64
	// seen is when the process learned of the era, which is after the restore that began it.
	seen time.Time
}

// observe records an era that the store or the coordinator has shown.
func (e *storeEra) observe(now time.Time, era uint64) {
	if era > e.latest {
		e.latest, e.seen = era, now
	}
}

// earlierGrantsUntil returns the time by which all grants of coordinators of earlier eras have expired.
// It is zero if the store was never restored.
func (e *storeEra) earlierGrantsUntil() time.Time {
	if e.latest <= revision.FirstEra {
		return time.Time{}
	}
	return e.seen.Add(coordinator.MaxOfflineRenewal + coordinator.MaxGrantLifetime())
}

// latestEra returns the latest era of the objects in an update.
func latestEra(u report.Update) uint64 {
	var latest uint64
	for _, o := range u.Objects {
		latest = max(latest, revision.Revision(o.Revision).Era())
	}
	for _, m := range u.CopyVersions {
		latest = max(latest, revision.Revision(m.Revision).Era())
	}
	return latest
}
