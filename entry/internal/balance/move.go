package balance

import "bramleystand.org/common/shard"

// Move gives a shard to another upstream.
type Move struct {
	Shard shard.Shard
	// From is empty for a shard that no upstream owned.
	From string
	To   string
}
