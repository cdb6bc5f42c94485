// Package trial runs one experiment. It starts a fleet, records the responses that
// callers get and the executions of backend servers, and compares the two.
//
// # Usage
//
//	t, err := trial.Open(ctx, options, "demo")
//	if err != nil {
//		return err
//	}
//	defer t.Fleet.Kill()
//	o, err := t.Oracle(ctx)
//	violations := o.Check()
//	err = errors.Join(t.Fleet.Stop(ctx), t.Close())
package trial

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"bramleystand.org/replay/internal/caller"
	"bramleystand.org/replay/internal/deployment"
	"bramleystand.org/replay/internal/execution"
	"bramleystand.org/replay/internal/fleet"
	"bramleystand.org/replay/internal/keyprobe"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/operationlog"
	"bramleystand.org/replay/internal/oracle"
)

const (
	// servedTimeout is the longest time from when all processes are ready until all
	// shards are served.
	servedTimeout = 20 * time.Second
	// lookupInterval is the pause between two lookups of all shards.
	lookupInterval = 100 * time.Millisecond
	// collectInterval is the time between two readings of all logs. When a server is
	// killed, the executions since the last reading are lost.
	collectInterval = 100 * time.Millisecond
	// collectTimeout is the longest time for the last reading of all logs.
	collectTimeout = 10 * time.Second
)

// Trial is a running experiment.
type Trial struct {
	Fleet     *fleet.Fleet
	Caller    *caller.Caller
	Collector *execution.Collector

	name     string
	client   *http.Client
	file     *os.File
	log      *operationlog.Log
	mu       sync.Mutex
	attempts []operation.Attempt
}

// Open starts a fleet and waits until every shard of every service is served. If it
// fails, it leaves no process running.
func Open(ctx context.Context, o fleet.Options, name string) (*Trial, error) {
	f, err := fleet.Start(ctx, o)
	if err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	file, err := os.Create(filepath.Join(o.Directory, "operations.jsonl"))
	if err != nil {
		f.Kill()
		return nil, fmt.Errorf("trial: create operation log: %w", err)
	}
	client := caller.NewClient()
	t := &Trial{Fleet: f, name: name, client: client, file: file, log: operationlog.New(file)}
	t.Caller = caller.New(client, f.CallerAddresses(), t.recordAttempt)
	t.Collector = execution.NewCollector(client, f.AdminAddresses())
	if err := t.waitUntilServed(ctx, o.Deployment); err != nil {
		f.Kill()
		return nil, errors.Join(fmt.Errorf("trial: %w", err), t.Close())
	}
	return t, nil
}

// CallerFor returns a caller that uses only the given entry VMs. Its attempts are
// recorded like those of Caller.
func (t *Trial) CallerFor(entries []netip.AddrPort) *caller.Caller {
	return caller.New(t.client, entries, t.recordAttempt)
}

func (t *Trial) recordAttempt(a operation.Attempt) {
	t.log.Add(a)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts = append(t.attempts, a)
}

// Attempts returns the attempts of all callers so far.
func (t *Trial) Attempts() []operation.Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.attempts)
}

// waitUntilServed waits until all processes are ready and a key of every shard is
// served.
func (t *Trial) waitUntilServed(ctx context.Context, d deployment.Deployment) error {
	if err := t.Fleet.Ready(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, servedTimeout)
	defer cancel()
	for _, s := range d.Services {
		for i := 0; ; i++ {
			_, err := t.LookupOwners(ctx, s, fmt.Sprintf("ready-%d", i))
			if err == nil {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Join(err, ctx.Err())
			case <-time.After(lookupInterval):
			}
		}
	}
	return nil
}

// LookupOwners looks up one key of each shard of a service and returns the servers that
// answered, by key. The name makes the operations of the lookups unique.
func (t *Trial) LookupOwners(ctx context.Context, s deployment.Service, name string) (map[string]string, error) {
	p := keyprobe.New(t.Caller.Do, s.Name, fmt.Sprintf("%s-%s-%s", t.name, s.Name, name))
	return p.LookupOwners(ctx, keyprobe.Keys(s.Prefix, fleet.Shards))
}

// Collect reads the execution logs at short intervals until ctx ends, so that little
// is lost when a server is killed.
func (t *Trial) Collect(ctx context.Context) {
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// A server that is down doesn't answer. Oracle returns an error if one that
			// should be running doesn't answer.
			_ = t.Collector.Collect(ctx)
		}
	}
}

// Oracle reads all logs for the last time and returns an oracle for the whole trial.
// It returns an error if a server did not answer, unless the process of any server
// has ended, because a trial may end servers on purpose. The logs of ended servers
// count as incomplete.
func (t *Trial) Oracle(ctx context.Context) (*oracle.Oracle, error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	err := t.Collector.Collect(ctx)
	allRunning := true
	for _, s := range t.Fleet.Servers {
		if s.Process.Ended() {
			t.Collector.MarkIncomplete(s.AdminAddress)
			allRunning = false
		}
	}
	o := oracle.New(t.Attempts(), t.Collector.Executions(), t.Collector.Incomplete())
	if err != nil && allRunning {
		return o, fmt.Errorf("trial: %w", err)
	}
	return o, nil
}

// Close closes the idle connections of the callers and the operation log.
func (t *Trial) Close() error {
	t.client.CloseIdleConnections()
	return errors.Join(t.log.Close(), t.file.Close())
}
