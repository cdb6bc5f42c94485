package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"bramleystand.org/replay/internal/process"
)

// stopTimeout bounds the time in which the processes of one kind must stop. It
// exceeds the 20 s that an entry process may take.
const stopTimeout = 25 * time.Second

// Expect tells that a process ends on purpose, so that Stop does not report how it ended.
func (f *Fleet) Expect(p *process.Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended[p] = true
}

// Stop stops entry VMs, backend servers and the platform in this order and
// returns an error for each process that had ended before or did not exit with code 0.
func (f *Fleet) Stop(ctx context.Context) error {
	defer f.Kill()
	entries, servers := f.groups()
	return errors.Join(f.stop(ctx, entries), f.stop(ctx, servers), f.stop(ctx, []*process.Process{f.Platform}))
}

func (f *Fleet) groups() (entries, servers []*process.Process) {
	for _, e := range f.Entries {
		entries = append(entries, e.Process)
	}
	for _, s := range f.Servers {
		servers = append(servers, s.Process)
	}
	return entries, servers
}

func (f *Fleet) stop(ctx context.Context, list []*process.Process) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	failures := make([]error, len(list))
	var group sync.WaitGroup
	for i, p := range list {
		f.mu.Lock()
		expected := f.ended[p]
		f.mu.Unlock()
		if expected {
			continue
		}
		if p.Ended() {
			failures[i] = fmt.Errorf("fleet: %s ended before it was stopped: %w", p.Name, p.Wait(ctx))
			continue
		}
		group.Go(func() { failures[i] = p.Stop(ctx) })
	}
	group.Wait()
	return errors.Join(failures...)
}

// Kill ends all processes at once and waits until they are gone; it may be called again.
func (f *Fleet) Kill() {
	entries, servers := f.groups()
	for _, p := range slices.Concat(entries, servers, []*process.Process{f.Platform}) {
		// A fleet that failed to start has processes that were never started.
		if p != nil {
			p.Kill()
		}
	}
	for _, o := range f.files {
		// The output is complete; an error on closing loses nothing.
		_ = o.Close()
	}
	f.files = nil
	if f.Relay != nil {
		// An error on closing concerns nothing that still runs.
		_ = f.Relay.Close()
		f.Relay = nil
	}
}
