// Package replayer replays traces with open-loop arrivals. Each operation starts at its
// arrival time, even if earlier ones have not been answered.
//
// # Usage
//
//	p := replayer.New(caller.Do, report.Add)
//	err := p.Run(ctx, trace, "demo")
package replayer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/trace"
)

// Replayer starts the operations of a trace and passes on their results.
type Replayer struct {
	perform  func(context.Context, operation.Operation) operation.Result
	onResult func(operation.Result)
}

// New returns a replayer that performs operations with perform and passes each result
// to onResult. Both are called concurrently.
func New(perform func(context.Context, operation.Operation) operation.Result, onResult func(operation.Result)) *Replayer {
	return &Replayer{perform: perform, onResult: onResult}
}

// Run replays a trace and waits until its last operation has ended. The run name is
// the prefix of the operations' IDs and makes them unique.
func (p *Replayer) Run(ctx context.Context, t *trace.Trace, runName string) error {
	var group sync.WaitGroup
	defer group.Wait()
	start := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i, r := range t.Requests {
		dueAt := start.Add(r.Arrival)
		timer.Reset(time.Until(dueAt))
		select {
		case <-ctx.Done():
			return fmt.Errorf("replayer: stopped after %d of %d operations: %w", i, len(t.Requests), ctx.Err())
		case <-timer.C:
		}
		o := operation.Operation{
			ID: fmt.Sprintf("%s-%d", runName, i), Service: r.Service, Key: r.Key, Rank: r.Rank, Size: r.Size,
			DueAt: dueAt, Target: r.Target, Deadline: dueAt.Add(t.Objectives[r.Rank].Timeout),
		}
		group.Go(func() { p.onResult(p.perform(ctx, o)) })
	}
	return nil
}
