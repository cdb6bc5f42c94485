// Package partition cuts VMs of a running fleet off from each other and compares
// what callers notice with the bounds that the system states.
//
// # Usage
//
//	p := partition.New(options, 60, os.Stderr)
//	result, err := p.Run(ctx, partition.Cases()[0])
//	broken := result.Broken()
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
	"bramleystand.org/replay/internal/load"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/oracle"
	"bramleystand.org/replay/internal/trial"
	"bramleystand.org/replay/internal/workload"
)

const (
	// settle is the time from the start of the load to the cut.
	settle = 3 * time.Second
	// cutTime is how long a cut lasts; the preset is switched switchDelay after its start.
	cutTime     = 15 * time.Second
	switchDelay = 5 * time.Second
	// window is the time from the heal to the end of the load.
	window = 12 * time.Second
	// uploadTimeout lets a case whose uploads are stuck end soon.
	uploadTimeout = 20 * time.Second
	// switched is the preset that comes into force during the cut.
	switched = "peak"
)

// Partition runs cases, each on a fleet of its own.
type Partition struct {
	options fleet.Options
	rate    float64
	output  io.Writer
}

// New returns a runner; rate is the background load in requests a second, and violations are printed to output.
func New(o fleet.Options, rate float64, output io.Writer) *Partition {
	return &Partition{options: o, rate: rate, output: output}
}

// Run runs a case.
func (p *Partition) Run(ctx context.Context, c Case) (r *Result, err error) {
	t, err := trial.Open(ctx, p.options, c.Name)
	if err != nil {
		return nil, fmt.Errorf("partition: %s: %w", c.Name, err)
	}
	defer func() { err = errors.Join(err, t.Close()) }()
	defer t.Fleet.Kill()
	s := &scene{trial: t, service: p.options.Deployment.Services[0], versions: newVersions(t.Fleet.Entries)}
	r = &Result{Case: c.Name, Rules: map[oracle.Rule]int{}}
	if err := p.run(ctx, c, s, r); err != nil {
		return nil, errors.Join(fmt.Errorf("partition: %s: %w", c.Name, err), t.Fleet.Stop(ctx))
	}
	if err := t.Fleet.Stop(ctx); err != nil {
		r.Problems = append(r.Problems, err.Error())
	}
	return r, nil
}

func (p *Partition) run(ctx context.Context, c Case, s *scene, r *Result) error {
	var err error
	if s.owners, err = s.trial.Sweep(ctx, s.service, "before"); err != nil {
		return err
	}
	if err := c.choose(ctx, s); err != nil {
		return err
	}
	if err := p.stress(ctx, c, s); err != nil {
		return err
	}
	if _, err := s.trial.Sweep(ctx, s.service, "after"); err != nil {
		r.Problems = append(r.Problems, err.Error())
	}
	if r.Silenced = s.silenced; c.silent && r.Silenced == 0 {
		r.Problems = append(r.Problems, "no connection went silent")
	}
	for _, g := range s.groups {
		r.Groups = append(r.Groups, g.figures(s.cutAt, s.healAt))
	}
	r.Processes = s.versions.processes(s.switchAt, s.cutAt, s.healAt)
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

// stress cuts and heals under load.
func (p *Partition) stress(ctx context.Context, c Case, s *scene) error {
	w := workload.Workload{
		Deployment: p.options.Deployment, Day: workload.Ordinary, Rate: p.rate, Duration: settle + cutTime + window, Seed: 1,
	}
	tr := w.Trace()
	tr.Expectations[rank.Upload].Timeout = uploadTimeout
	var loadErr error
	var group sync.WaitGroup
	limited, cancel := context.WithTimeout(ctx, w.Duration)
	defer cancel()
	group.Go(func() { s.trial.Collect(limited) })
	group.Go(func() { s.versions.run(limited) })
	for _, g := range s.groups {
		group.Go(func() { g.run(limited, s.trial, s.service.Name, c.Name) })
	}
	group.Go(func() {
		loadErr = load.New(s.trial.Caller.Do, func(operation.Result) {}).Run(ctx, tr, c.Name)
	})
	err := s.interrupt(limited, c)
	group.Wait()
	return errors.Join(err, loadErr)
}

// interrupt cuts, switches the preset on the platform, and heals.
func (s *scene) interrupt(ctx context.Context, c Case) error {
	pause(ctx, settle)
	s.cutAt = time.Now()
	c.cut(s)
	pause(ctx, switchDelay)
	presets := configuration.DefaultPresets()
	presets.Active = switched
	content, err := configuration.EncodePresets(presets)
	if err != nil {
		return fmt.Errorf("encode presets: %w", err)
	}
	if err := s.trial.Fleet.Put(ctx, configuration.PresetObject, content); err != nil {
		return err
	}
	s.switchAt = time.Now()
	pause(ctx, time.Until(s.cutAt.Add(cutTime)))
	s.healAt = time.Now()
	for _, p := range s.cuts {
		s.trial.Fleet.Relay.Heal(p[0], p[1])
	}
	return nil
}

// pause waits for a time or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
