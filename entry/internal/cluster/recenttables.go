package cluster

import (
	"sync"

	"bramleystand.org/entry/internal/ownership"
	"bramleystand.org/entry/internal/report"
)

// maxRecentTables bounds the tables that are kept of all services.
const maxRecentTables = 32

// recentTables keeps the latest tables, so that a follower which connects again, or has followed another
// coordinator, gets the difference to the table that it has. It is safe for concurrent use; no other lock
// is taken while its own is held.
type recentTables struct {
	mu     sync.Mutex
	tables []*ownership.Table
}

// tableVersion returns the version of a table.
func tableVersion(t *ownership.Table) report.TableVersion {
	return report.TableVersion{Service: t.Service, Term: t.Term, Generation: t.Generation, Revision: t.Revision}
}

// add keeps a table unless it is kept already.
func (r *recentTables) add(t *ownership.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	version := tableVersion(t)
	for _, kept := range r.tables {
		if tableVersion(kept) == version {
			return
		}
	}
	if len(r.tables) == maxRecentTables {
		r.tables = append(r.tables[:0:0], r.tables[1:]...)
	}
	r.tables = append(r.tables, t)
}

// find returns the tables that are kept of the given ones, by service.
func (r *recentTables) find(versions []report.TableVersion) map[string]*ownership.Table {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]*ownership.Table)
	for _, v := range versions {
		for _, t := range r.tables {
			if tableVersion(t) == v {
				out[v.Service] = t
			}
		}
	}
	return out
}
