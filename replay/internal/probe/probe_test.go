package probe_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/shard"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/probe"
)

// Guards against a sweep that misses shards or passes over keys that nobody serves.
func TestSweep(t *testing.T) {
	keys := probe.Keys("seat", 64)
	for i, k := range keys {
		must.Eq(t, shard.Shard(i), shard.Of(k, 64))
	}
	silent := ""
	p := probe.New(func(_ context.Context, o operation.Operation) operation.Result {
		a := operation.Attempt{Outcome: outcome.Ran, Server: "of-" + o.Key}
		if o.Key == silent {
			a = operation.Attempt{}
		}
		return operation.Result{Attempts: []operation.Attempt{{Outcome: outcome.NotRun}, a}}
	}, "seat-desk", "test")
	owners, err := p.Sweep(t.Context(), keys)
	must.NoError(t, err)
	must.MapLen(t, 64, owners)
	must.Eq(t, "of-"+keys[5], owners[keys[5]])
	silent = keys[9]
	_, err = p.Sweep(t.Context(), keys)
	must.ErrorContains(t, err, silent)
}

// Guards against probes that wait for each other, so that one stalled key hides the others.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var count atomic.Int64
		p := probe.New(func(context.Context, operation.Operation) operation.Result {
			count.Add(1)
			time.Sleep(time.Minute)
			return operation.Result{}
		}, "seat-desk", "test")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second+time.Millisecond)
		defer cancel()
		p.Run(ctx, []string{"a", "b"}, 100*time.Millisecond)
		must.Eq(t, 20, count.Load())
	})
}
