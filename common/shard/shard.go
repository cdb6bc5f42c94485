// Package shard maps keys to shards, the units of ownership.
//
// A service has a fixed, power-of-two number of shards. Every process computes
// the same shard for a key, so only shards and never keys appear in routing state.
//
// # Usage
//
//	s := shard.Of("placement/4711", 1024)
package shard

import "github.com/cespare/xxhash/v2"

// Shard is the index of a shard within its service.
type Shard uint32

// Of returns the shard of a key for a service with count shards; count must be a power of two.
func Of(key string, count uint32) Shard {
	return Shard(xxhash.Sum64String(key) & uint64(count-1))
}
