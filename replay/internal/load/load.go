// Package load replays traces with open-loop arrivals: each operation starts at
// its arrival time whether or not earlier ones have been answered.
//
// # Usage
//
//	l := load.New(caller.Do, report.Add)
//	err := l.Run(ctx, trace, "demo")
package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/trace"
)

// Load starts operations and collects their results.
type Load struct {
	do   func(context.Context, operation.Operation) operation.Result
	done func(operation.Result)
}

// New returns a load that performs operations with do and passes each result to done, from many goroutines.
func New(do func(context.Context, operation.Operation) operation.Result, done func(operation.Result)) *Load {
	return &Load{do: do, done: done}
}

// Run replays a trace and waits until its last operation has ended. The run name makes operations unique.
func (l *Load) Run(ctx context.Context, t *trace.Trace, run string) error {
	var group sync.WaitGroup
	defer group.Wait()
	start := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i, r := range t.Requests {
		intended := start.Add(r.Arrival)
		timer.Reset(time.Until(intended))
		select {
		case <-ctx.Done():
			return fmt.Errorf("load: stopped after %d of %d operations: %w", i, len(t.Requests), ctx.Err())
		case <-timer.C:
		}
		o := operation.Operation{
			ID: fmt.Sprintf("%s-%d", run, i), Service: r.Service, Key: r.Key, Rank: r.Rank, Size: r.Size,
			Intended: intended, Target: r.Target, Deadline: intended.Add(t.Expectations[r.Rank].Timeout),
		}
		group.Go(func() { l.done(l.do(ctx, o)) })
	}
	return nil
}
