package balance

import "bramleystand.org/common/shard"

// Move transfers the ownership of a shard to another upstream.
type Move struct {
	Shard shard.Shard
	// From is the previous owner, empty if no upstream owned the shard.
	From string
	To   string
}
