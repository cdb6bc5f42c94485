package pair

import (
	"github.com/apex/log"

	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

// explain logs when control of the pair comes or goes, and what a new table changed.
func (p *Pair) explain(controlling bool, table *control.Table) {
	if controlling != p.controlled {
		p.controlled = controlling
		message := "control of the pair ended"
		if controlling {
			message = "control of the pair began"
		}
		p.logger.Info(message)
	}
	if table == p.explained {
		return
	}
	if controlling && table != nil {
		p.logger.WithFields(changes(p.explained, table)).Info("table changed")
	}
	p.explained = table
}

// changes counts what differs between two tables.
func changes(former, next *control.Table) log.Fields {
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
	moved, handed := 0, 0
	for _, p := range next.Placements {
		if m, ok := leaseholders[p.Upstream]; ok && !m.Same(p.Leaseholder) {
			handed++
		}
		for _, s := range p.Shards {
			if owner, ok := owners[s]; ok && owner != p.Upstream {
				moved++
			}
		}
	}
	return log.Fields{"term": next.Term, "sequence": next.Sequence, "shards_moved": moved, "leases_moved": handed}
}
