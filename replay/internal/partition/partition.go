// Package partition creates network partitions in a running fleet under load and compares
// the effect on callers with the limits that the system guarantees.
//
// # Usage
//
//	p := partition.New(options, 60, os.Stderr)
//	result, err := p.Run(ctx, partition.Cases()[0])
//	broken := result.BrokenBounds()
package partition

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/rank"
	"bramleystand.org/replay/internal/fleet"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/oracle"
	"bramleystand.org/replay/internal/replayer"
	"bramleystand.org/replay/internal/trial"
	"bramleystand.org/replay/internal/workload"
)

const (
	// settleTime is the time from the start of the load to the cut.
	settleTime = 3 * time.Second
	// cutDuration is how long a cut lasts; another preset is activated switchDelay after its start.
	cutDuration = 15 * time.Second
	switchDelay = 5 * time.Second
	// recoveryWindow is the time from the heal to the end of the load.
	recoveryWindow = 12 * time.Second
	// uploadTimeout is short so that a case with stuck uploads ends soon.
	uploadTimeout = 20 * time.Second
	// switchedPreset is the preset that is activated during the cut.
	switchedPreset = "peak"
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

// Run runs a case and returns its figures.
func (p *Runner) Run(ctx context.Context, c Case) (r *Result, err error) {
	t, err := trial.Open(ctx, p.options, c.Name)
	if err != nil {
		return nil, fmt.Errorf("partition: %s: %w", c.Name, err)
	}
	defer func() { err = errors.Join(err, t.Close()) }()
	defer t.Fleet.Kill()
	s := &caseState{trial: t, service: p.options.Deployment.Services[0], versionSampler: newVersionSampler(t.Fleet.Entries)}
	r = &Result{Case: c.Name, Rules: map[oracle.Rule]int{}}
	if err := p.run(ctx, c, s, r); err != nil {
		return nil, errors.Join(fmt.Errorf("partition: %s: %w", c.Name, err), t.Fleet.Stop(ctx))
	}
	if err := t.Fleet.Stop(ctx); err != nil {
		r.Problems = append(r.Problems, err.Error())
	}
	return r, nil
}

func (p *Runner) run(ctx context.Context, c Case, s *caseState, r *Result) error {
	var err error
	if s.owners, err = s.trial.LookupOwners(ctx, s.service, "before"); err != nil {
		return err
	}
	if err := c.chooseTargets(ctx, s); err != nil {
		return err
	}
	if err := p.runUnderLoad(ctx, c, s); err != nil {
		return err
	}
	if _, err := s.trial.LookupOwners(ctx, s.service, "after"); err != nil {
		r.Problems = append(r.Problems, err.Error())
	}
	if r.SilencedConnections = s.silencedConnections; c.silencesConnections && r.SilencedConnections == 0 {
		r.Problems = append(r.Problems, "no connection went silent")
	}
	for _, g := range s.groups {
		r.Groups = append(r.Groups, g.evaluate(s.cutAt, s.healAt))
	}
	r.Processes = s.versionSampler.processResults(s.switchAt, s.cutAt, s.healAt)
	o, err := s.trial.Oracle(ctx)
	if err != nil {
		return err
	}
	for _, v := range o.Check() {
		r.Rules[v.Rule]++
		fmt.Fprintln(p.output, v)
	}
	return nil
}

// runUnderLoad starts and heals the partition while background load, lookups of the groups
// and version sampling run.
func (p *Runner) runUnderLoad(ctx context.Context, c Case, s *caseState) error {
	w := workload.Workload{
		Deployment: p.options.Deployment, Day: workload.Ordinary, Rate: p.rate, Duration: settleTime + cutDuration + recoveryWindow, Seed: 1,
	}
	tr := w.Trace()
	tr.Objectives[rank.Upload].Timeout = uploadTimeout
	var loadErr error
	var group sync.WaitGroup
	loadCtx, cancel := context.WithTimeout(ctx, w.Duration)
	defer cancel()
	group.Go(func() { s.trial.Collect(loadCtx) })
	group.Go(func() { s.versionSampler.run(loadCtx) })
	for _, g := range s.groups {
		group.Go(func() { g.run(loadCtx, s.trial, s.service.Name, c.Name) })
	}
	group.Go(func() {
		loadErr = replayer.New(s.trial.Caller.Do, func(operation.Result) {}).Run(ctx, tr, c.Name)
	})
	err := s.cutAndHeal(loadCtx, c)
	group.Wait()
	return errors.Join(err, loadErr)
}

// cutAndHeal starts the partition, activates another preset on the platform, and heals the
// partition.
func (s *caseState) cutAndHeal(ctx context.Context, c Case) error {
	pause(ctx, settleTime)
	s.cutAt = time.Now()
	c.cut(s)
	pause(ctx, switchDelay)
	presets := configuration.DefaultPresets()
	presets.Active = switchedPreset
	content, err := configuration.EncodePresets(presets)
	if err != nil {
		return fmt.Errorf("encode presets: %w", err)
	}
	if err := s.trial.Fleet.Put(ctx, configuration.PresetsObject, content); err != nil {
		return err
	}
	s.switchAt = time.Now()
	pause(ctx, time.Until(s.cutAt.Add(cutDuration)))
	s.healAt = time.Now()
	for _, p := range s.cuts {
		s.trial.Fleet.Relay.Heal(p[0], p[1])
	}
	return nil
}

// pause waits for the given time or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
