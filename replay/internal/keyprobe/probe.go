// Package keyprobe looks up given keys, either continuously or once each.
//
// # Usage
//
//	p := keyprobe.New(caller.Do, "seat-desk", "probe")
//	owners, err := p.LookupOwners(ctx, keys)
//	p.Run(ctx, keys, 50*time.Millisecond)
package keyprobe

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
	"bramleystand.org/common/shard"
	"bramleystand.org/replay/internal/operation"
)

const (
	// lookupTimeout is the time after which a lookup gives up. It exceeds the 3 s after
	// which the keys of a lost server are served again.
	lookupTimeout = 5 * time.Second
	lookupTarget  = 300 * time.Millisecond
	// lookupWorkers is the number of concurrent lookups of LookupOwners.
	lookupWorkers = 32
)

// Probe looks up keys of one service through callers.
type Probe struct {
	perform    func(context.Context, operation.Operation) operation.Result
	service    string
	name       string
	operations atomic.Uint64
}

// New returns a probe that looks up keys with perform. The name is the prefix of the
// IDs of its operations and makes them unique.
func New(perform func(context.Context, operation.Operation) operation.Result, service, name string) *Probe {
	return &Probe{perform: perform, service: service, name: name}
}

// Keys returns one key for each of a service's shards.
func Keys(prefix string, shards uint32) []string {
	keys := make([]string, shards)
	for i, found := 0, uint32(0); found < shards; i++ {
		k := fmt.Sprintf("%s-probe-%d", prefix, i)
		if s := shard.Of(k, shards); keys[s] == "" {
			keys[s] = k
			found++
		}
	}
	return keys
}

// Run looks up each key once per interval until ctx ends, without waiting for responses.
// It then waits for the last responses.
func (p *Probe) Run(ctx context.Context, keys []string, interval time.Duration) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(interval / time.Duration(len(keys)))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		key := keys[i%len(keys)]
		group.Go(func() { p.lookup(context.WithoutCancel(ctx), key) })
	}
}

// LookupOwners looks up each key once and returns the servers that answered, by key. It fails
// if a key is not served.
func (p *Probe) LookupOwners(ctx context.Context, keys []string) (map[string]string, error) {
	results := make([]operation.Result, len(keys))
	next := make(chan int)
	var group sync.WaitGroup
	for range lookupWorkers {
		group.Go(func() {
			for i := range next {
				results[i] = p.lookup(ctx, keys[i])
			}
		})
	}
	for i := range keys {
		next <- i
	}
	close(next)
	group.Wait()
	found := map[string]string{}
	for i, r := range results {
		last := r.Attempts[len(r.Attempts)-1]
		if last.Outcome != outcome.Ran {
			return nil, eris.Errorf("keyprobe: key %s of %s is not served: status %d: %s", keys[i], p.service, last.Status, last.FailureReason)
		}
		found[keys[i]] = last.Server
	}
	return found, nil
}

func (p *Probe) lookup(ctx context.Context, key string) operation.Result {
	now := time.Now()
	return p.perform(ctx, operation.Operation{
		ID: fmt.Sprintf("%s-%d", p.name, p.operations.Add(1)), Service: p.service, Key: key, Rank: rank.Lookup,
		DueAt: now, Target: lookupTarget, Deadline: now.Add(lookupTimeout),
	})
}
