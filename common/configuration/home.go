package configuration

import "bramleystand.org/common/shard"

// HomeRange assigns an inclusive range of shards to a data centre.
type HomeRange struct {
	DataCentre string
	First      shard.Shard
	Last       shard.Shard
}
