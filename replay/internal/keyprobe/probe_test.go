package keyprobe_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/shard"
	"bramleystand.org/replay/internal/keyprobe"
	"bramleystand.org/replay/internal/operation"
)

// Guards against owner lookups that miss shards or ignore keys that no server serves.
func TestLookupOwners(t *testing.T) {
	keys := keyprobe.Keys("seat", 64)
	for i, k := range keys {
		must.Eq(t, shard.Shard(i), shard.Of(k, 64))
	}
	unservedKey := ""
	p := keyprobe.New(func(_ context.Context, o operation.Operation) operation.Result {
		a := operation.Attempt{Outcome: outcome.Ran, Server: "of-" + o.Key}
		if o.Key == unservedKey {
			a = operation.Attempt{}
		}
		return operation.Result{Attempts: []operation.Attempt{{Outcome: outcome.NotRun}, a}}
	}, "seat-desk", "test")
	owners, err := p.LookupOwners(t.Context(), keys)
	must.NoError(t, err)
	must.MapLen(t, 64, owners)
	must.Eq(t, "of-"+keys[5], owners[keys[5]])
	unservedKey = keys[9]
	_, err = p.LookupOwners(t.Context(), keys)
	must.ErrorContains(t, err, unservedKey)
}

// Guards against lookups that wait for earlier ones, so that one stalled key delays the
// lookups of all others.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lookups atomic.Int64
		p := keyprobe.New(func(context.Context, operation.Operation) operation.Result {
			lookups.Add(1)
			time.Sleep(time.Minute)
			return operation.Result{}
		}, "seat-desk", "test")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second+time.Millisecond)
		defer cancel()
		p.Run(ctx, []string{"a", "b"}, 100*time.Millisecond)
		must.Eq(t, 20, lookups.Load())
	})
}
