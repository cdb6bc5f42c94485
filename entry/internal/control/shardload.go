package control

import "bramleystand.org/common/shard"

// ShardLoad is the decayed load of a shard in slots: requests per second times service time.
type ShardLoad struct {
	Shard shard.Shard
	Load  float64
}
