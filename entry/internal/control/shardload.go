package control

import "bramleystand.org/common/shard"

// ShardLoad is the mean number of slots that a shard uses: requests per second times service time.
type ShardLoad struct {
	Shard shard.Shard
	Load  float64
}
