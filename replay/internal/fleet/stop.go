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

// stopTimeout bounds the time in which all processes of one kind must stop. It exceeds the
// 20 s that the stop of an entry process may take.
const stopTimeout = 25 * time.Second

// ExpectExit marks a process that is ended on purpose, so that Stop does not report it.
func (f *Fleet) ExpectExit(p *process.Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endedOnPurpose[p] = true
}

// Stop stops the entry VMs, the backend servers and the platform gracefully, in this order.
// It returns an error for each process that had already ended or did not exit with code 0,
// except for those marked by ExpectExit.
func (f *Fleet) Stop(ctx context.Context) error {
	defer f.Kill()
	entries, servers := f.processes()
	return errors.Join(f.stopProcesses(ctx, entries), f.stopProcesses(ctx, servers), f.stopProcesses(ctx, []*process.Process{f.Platform}))
}

// processes returns the processes of the entry VMs and of the backend servers.
func (f *Fleet) processes() (entries, servers []*process.Process) {
	for _, e := range f.Entries {
		entries = append(entries, e.Process)
	}
	for _, s := range f.Servers {
		servers = append(servers, s.Process)
	}
	return entries, servers
}

// stopProcesses stops processes in parallel. It continues after ctx is cancelled, so that
// an interrupted run still stops its processes gracefully.
func (f *Fleet) stopProcesses(ctx context.Context, processes []*process.Process) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	failures := make([]error, len(processes))
	var group sync.WaitGroup
	for i, p := range processes {
		f.mu.Lock()
		expected := f.endedOnPurpose[p]
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

// Kill kills all processes, waits until they have ended and closes their log files and the
// relay. It may be called several times.
func (f *Fleet) Kill() {
	entries, servers := f.processes()
	for _, p := range slices.Concat(entries, servers, []*process.Process{f.Platform}) {
		// If Start failed, some processes were never started.
		if p != nil {
			p.Kill()
		}
	}
	for _, o := range f.files {
		// All output has been written, so an error on closing loses nothing.
		_ = o.Close()
	}
	f.files = nil
	if f.Relay != nil {
		// Nothing uses the relay any more, so an error on closing has no effect.
		_ = f.Relay.Close()
		f.Relay = nil
	}
}
