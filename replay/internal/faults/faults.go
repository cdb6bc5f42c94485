// Package faults injects failures and planned events into a fleet of real processes under
// load and compares the effect on callers with the limits that the system guarantees.
//
// # Usage
//
//	f := faults.New(options, 60, os.Stderr)
//	result, err := f.Run(ctx, faults.Cases()[0], false)
//	broken := result.BrokenBounds(faults.Cases()[0])
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
	"bramleystand.org/replay/internal/keyprobe"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/oracle"
	"bramleystand.org/replay/internal/recovery"
	"bramleystand.org/replay/internal/replayer"
	"bramleystand.org/replay/internal/report"
	"bramleystand.org/replay/internal/trial"
	"bramleystand.org/replay/internal/workload"
)

const (
	// settleTime is the time from the start of the load to the event.
	settleTime = 2 * time.Second
	// recoveryWindow is the time from the event to the end of the load.
	recoveryWindow = 10 * time.Second
	// outageLead is the time from the start of the platform outage to the event.
	outageLead = time.Second
	// uploadTimeout is shorter than the usual timeout of callers, so that a case with stuck uploads
	// ends soon.
	uploadTimeout = 20 * time.Second
	// probeInterval is the time between two lookups of a key.
	probeInterval = 100 * time.Millisecond
)

// Runner runs cases, each on a newly started fleet.
type Runner struct {
	options fleet.Options
	rate    float64
	output  io.Writer
}

// New returns a runner. Rate is the background load in requests per second; violations of
// invariants are printed to output.
func New(o fleet.Options, rate float64, output io.Writer) *Runner {
	return &Runner{options: o, rate: rate, output: output}
}

// Run runs a case. If platformDown is set, the platform is frozen during the event.
func (f *Runner) Run(ctx context.Context, c Case, platformDown bool) (r *Result, err error) {
	t, err := trial.Open(ctx, f.options, c.Name)
	if err != nil {
		return nil, fmt.Errorf("faults: %s: %w", c.Name, err)
	}
	defer func() { err = errors.Join(err, t.Close()) }()
	defer t.Fleet.Kill()
	s := &caseState{trial: t, service: f.options.Deployment.Services[0]}
	r = &Result{Case: c.Name, PlatformDown: platformDown, Violations: map[oracle.Rule]int{}}
	if err := f.run(ctx, c, s, r); err != nil {
		return nil, errors.Join(fmt.Errorf("faults: %s: %w", c.Name, err), t.Fleet.Stop(ctx))
	}
	r.Problems = append(r.Problems, s.problems...)
	if err := t.Fleet.Stop(ctx); err != nil {
		r.Problems = append(r.Problems, err.Error())
	}
	return r, nil
}

func (f *Runner) run(ctx context.Context, c Case, s *caseState, r *Result) error {
	var err error
	if s.ownersBefore, err = s.trial.LookupOwners(ctx, s.service, "before"); err != nil {
		return err
	}
	if err := c.chooseTargets(ctx, s); err != nil {
		return err
	}
	calls, err := f.runUnderLoad(ctx, c, s, r.PlatformDown)
	if err != nil {
		return err
	}
	r.countCalls(calls)
	after, err := s.trial.LookupOwners(ctx, s.service, "after")
	if err != nil {
		// The run continues, because the recovery time also reports keys that are not served.
		s.problems = append(s.problems, err.Error())
	}
	r.MovedShards, r.MinMoved, r.StopTime = countMoved(s.ownersBefore, after), s.minMoved, s.stopTime
	w := recovery.Window{Attempts: s.trial.Attempts(), Keys: s.keys, From: s.injectedAt, To: s.injectedAt.Add(recoveryWindow)}
	recoveryTime, unserved := w.TimeToRecover()
	r.RecoveryTime, r.UnservedKeys, r.LongestGap = recoveryTime, len(unserved), w.LongestGap()
	o, err := s.trial.Oracle(ctx)
	if err != nil {
		return err
	}
	for _, v := range o.Check() {
		r.Violations[v.Rule]++
		fmt.Fprintln(f.output, v)
	}
	r.UntracedResponses = o.Untraced()
	if c.measure != nil {
		c.measure(s, r)
	}
	return nil
}

// runUnderLoad triggers the event while background load and probes run, and returns the
// outcomes of the background load.
func (f *Runner) runUnderLoad(ctx context.Context, c Case, s *caseState, platformDown bool) (*report.Report, error) {
	w := workload.Workload{
		Deployment: f.options.Deployment, Day: workload.Ordinary, Rate: f.rate, Duration: settleTime + recoveryWindow, Seed: 1,
	}
	tr := w.Trace()
	tr.Objectives[rank.Upload].Timeout = uploadTimeout
	calls := report.New(tr.Objectives)
	var loadErr error
	var group sync.WaitGroup
	// No goroutine outlives this function, whether the event succeeded or not.
	defer group.Wait()
	loadCtx, cancel := context.WithTimeout(ctx, settleTime+recoveryWindow)
	defer cancel()
	collectCtx, stopCollecting := context.WithCancel(ctx)
	defer stopCollecting()
	group.Go(func() { s.trial.Collect(collectCtx) })
	group.Go(func() {
		keyprobe.New(s.trial.Caller.Do, s.service.Name, c.Name+"-probe").Run(loadCtx, s.keys, probeInterval)
	})
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		loadErr = replayer.New(s.trial.Caller.Do, func(o operation.Result) { calls.Add(o) }).Run(ctx, tr, c.Name)
	}()
	pause(ctx, settleTime-outageLead)
	injectErr := f.inject(ctx, loadCtx, c, s, platformDown)
	<-loadDone
	stopCollecting()
	return calls, errors.Join(injectErr, loadErr)
}

// inject triggers the event and waits for the end of the load. If platformDown is set, the
// platform is frozen outageLead before the event and resumed when the load has ended.
func (f *Runner) inject(ctx, loadCtx context.Context, c Case, s *caseState, platformDown bool) error {
	if platformDown {
		if err := s.trial.Fleet.Platform.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
	}
	pause(ctx, outageLead)
	err := c.inject(ctx, s)
	<-loadCtx.Done()
	if platformDown {
		err = errors.Join(err, s.trial.Fleet.Platform.Signal(syscall.SIGCONT))
	}
	return err
}
