package pair

import (
	"github.com/apex/log"

	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

// logChanges logs when this process gains or loses control of the pair, and what a new table changed.
func (p *Pair) logChanges(controlling bool, table *control.Table) {
	if controlling != p.loggedControl {
		p.loggedControl = controlling
		message := "no longer controller of the pair"
		if controlling {
			message = "became controller of the pair"
		}
		p.logger.Info(message)
	}
	if table == p.loggedTable {
		return
	}
	if controlling && table != nil {
		p.logger.WithFields(tableChanges(p.loggedTable, table)).Info("table changed")
	}
	p.loggedTable = table
}

// tableChanges returns log fields with the version of a table and the numbers of shards and leases that it moves.
func tableChanges(former, next *control.Table) log.Fields {
	owners := make(map[shard.Shard]string)
	leaseholders := make(map[string]control.Member)
	if former != nil {
		for _, p := range former.Placements {
			leaseholders[p.Upstream] = p.Leaseholder
			for _, s := range p.Shards {
				owners[s] = p.Upstream
			}
		}
	}
	shardsMoved, leasesMoved := 0, 0
	for _, p := range next.Placements {
		if m, ok := leaseholders[p.Upstream]; ok && !m.Same(p.Leaseholder) {
			leasesMoved++
		}
		for _, s := range p.Shards {
			if owner, ok := owners[s]; ok && owner != p.Upstream {
				shardsMoved++
			}
		}
	}
	return log.Fields{"term": next.Term, "sequence": next.Sequence, "shards_moved": shardsMoved, "leases_moved": leasesMoved}
}
