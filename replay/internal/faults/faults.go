// Package faults runs real processes under failure and compares what callers
// notice with the bounds that the system states.
//
// # Usage
//
//	f := faults.New(options, 60, os.Stderr)
//	result, err := f.Run(ctx, faults.Cases()[0], false)
//	broken := result.Broken(faults.Cases()[0])
package faults

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	"bramleystand.org/common/rank"
	"bramleystand.org/replay/internal/fleet"
	"bramleystand.org/replay/internal/load"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/oracle"
	"bramleystand.org/replay/internal/probe"
	"bramleystand.org/replay/internal/recovery"
	"bramleystand.org/replay/internal/report"
	"bramleystand.org/replay/internal/trial"
	"bramleystand.org/replay/internal/workload"
)

const (
	// settle is the time from the start of the load to the event.
	settle = 2 * time.Second
	// window is the time from the event to the end of the load.
	window = 10 * time.Second
	// outageLead is the time from the platform's outage to the event.
	outageLead = time.Second
	// uploadTimeout is shorter than callers' usual one, so that a case whose uploads are stuck ends soon.
	uploadTimeout = 20 * time.Second
	// probeInterval is the time between two lookups of a key.
	probeInterval = 100 * time.Millisecond
)

// Faults runs cases, each on a fleet of its own.
type Faults struct {
	options fleet.Options
	rate    float64
	output  io.Writer
}

// New returns a runner; rate is the background load in requests a second, and violations are printed to output.
func New(o fleet.Options, rate float64, output io.Writer) *Faults {
	return &Faults{options: o, rate: rate, output: output}
}

// Run runs a case, with the platform down if outage is set.
func (f *Faults) Run(ctx context.Context, c Case, outage bool) (r *Result, err error) {
	t, err := trial.Open(ctx, f.options, c.Name)
	if err != nil {
		return nil, fmt.Errorf("faults: %s: %w", c.Name, err)
	}
	defer func() { err = errors.Join(err, t.Close()) }()
	defer t.Fleet.Kill()
	s := &scene{trial: t, service: f.options.Deployment.Services[0]}
	r = &Result{Case: c.Name, Outage: outage, Violations: map[oracle.Rule]int{}}
	if err := f.run(ctx, c, s, r); err != nil {
		return nil, errors.Join(fmt.Errorf("faults: %s: %w", c.Name, err), t.Fleet.Stop(ctx))
	}
	r.Problems = append(r.Problems, s.problems...)
	if err := t.Fleet.Stop(ctx); err != nil {
		r.Problems = append(r.Problems, err.Error())
	}
	return r, nil
}

func (f *Faults) run(ctx context.Context, c Case, s *scene, r *Result) error {
	var err error
	if s.before, err = s.trial.Sweep(ctx, s.service, "before"); err != nil {
		return err
	}
	if err := c.choose(ctx, s); err != nil {
		return err
	}
	calls, err := f.stress(ctx, c, s, r.Outage)
	if err != nil {
		return err
	}
	r.count(calls)
	after, err := s.trial.Sweep(ctx, s.service, "after")
	if err != nil {
		// The recovery time reports keys that are not served.
		s.problems = append(s.problems, err.Error())
	}
	r.Moved, r.Least, r.Stop = moved(s.before, after), s.least, s.stopped
	w := recovery.Window{Attempts: s.trial.Attempts(), Keys: s.keys, From: s.injected, To: s.injected.Add(window)}
	longest, missing := w.Recovered()
	r.Recovery, r.Unserved, r.Stall = longest, len(missing), w.Stall()
	o, err := s.trial.Oracle(ctx)
	if err != nil {
		return err
	}
	for _, v := range o.Check() {
		r.Violations[v.Rule]++
		fmt.Fprintln(f.output, v)
	}
	r.UntracedAnswers = o.Untraced()
	if c.check != nil {
		c.check(s, r)
	}
	return nil
}

// stress runs the case under load and returns how the calls ended.
func (f *Faults) stress(ctx context.Context, c Case, s *scene, outage bool) (*report.Report, error) {
	w := workload.Workload{
		Deployment: f.options.Deployment, Day: workload.Ordinary, Rate: f.rate, Duration: settle + window, Seed: 1,
	}
	tr := w.Trace()
	tr.Expectations[rank.Upload].Timeout = uploadTimeout
	calls := report.New(tr.Expectations)
	var loadErr error
	var group sync.WaitGroup
	// Nothing goes on after the load has ended, whether the event succeeded or not.
	defer group.Wait()
	limited, cancel := context.WithTimeout(ctx, settle+window)
	defer cancel()
	collecting, collected := context.WithCancel(ctx)
	defer collected()
	group.Go(func() { s.trial.Collect(collecting) })
	group.Go(func() {
		probe.New(s.trial.Caller.Do, s.service.Name, c.Name+"-probe").Run(limited, s.keys, probeInterval)
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		loadErr = load.New(s.trial.Caller.Do, func(o operation.Result) { calls.Add(o) }).Run(ctx, tr, c.Name)
	}()
	pause(ctx, settle-outageLead)
	injectErr := f.inject(ctx, limited, c, s, outage)
	<-done
	collected()
	return calls, errors.Join(injectErr, loadErr)
}

// inject causes the event; an outage of the platform lasts until the load ends.
func (f *Faults) inject(ctx, limited context.Context, c Case, s *scene, outage bool) error {
	if outage {
		if err := s.trial.Fleet.Platform.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
	}
	pause(ctx, outageLead)
	err := c.inject(ctx, s)
	<-limited.Done()
	if outage {
		err = errors.Join(err, s.trial.Fleet.Platform.Signal(syscall.SIGCONT))
	}
	return err
}
