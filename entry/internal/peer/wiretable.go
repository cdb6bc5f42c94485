package peer

import (
	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

type wirePlacement struct {
	_           struct{} `cbor:",toarray"`
	Upstream    string
	Leaseholder wireMember
	Fence       uint64
	Revision    uint32
	Shards      []uint32
}

type wireTable struct {
	_          struct{} `cbor:",toarray"`
	Pair       wirePair
	Term       uint32
	Sequence   uint64
	Placements []wirePlacement
}

func encodeShards(in []shard.Shard) []uint32 {
	return mapAll(in, func(s shard.Shard) uint32 { return uint32(s) })
}

func decodeShards(in []uint32) []shard.Shard {
	return mapAll(in, func(s uint32) shard.Shard { return shard.Shard(s) })
}

func encodeTable(t *control.Table) *wireTable {
	if t == nil {
		return nil
	}
	return &wireTable{
		Pair: encodePair(t.Pair), Term: t.Term, Sequence: t.Sequence,
		Placements: mapAll(t.Placements, func(p control.Placement) wirePlacement {
			return wirePlacement{
				Upstream: p.Upstream, Leaseholder: encodeMember(p.Leaseholder),
				Fence: uint64(p.Fence), Revision: p.Revision, Shards: encodeShards(p.Shards),
			}
		}),
	}
}

func decodeTable(w *wireTable) *control.Table {
	if w == nil {
		return nil
	}
	return &control.Table{
		Pair: decodePair(w.Pair), Term: w.Term, Sequence: w.Sequence,
		Placements: mapAll(w.Placements, func(p wirePlacement) control.Placement {
			return control.Placement{
				Upstream: p.Upstream, Leaseholder: decodeMember(p.Leaseholder),
				Fence: fence.Fence(p.Fence), Revision: p.Revision, Shards: decodeShards(p.Shards),
			}
		}),
	}
}
