package configuration

import "bramleystand.org/common/shard"

// Home assigns an inclusive range of shards to a data centre.
type Home struct {
	DataCentre string
	First      shard.Shard
	Last       shard.Shard
}
