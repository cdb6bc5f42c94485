package faults

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"bramleystand.org/common/configuration"
	"bramleystand.org/common/rank"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/process"
)

// crashes is how often the crashing request is sent.
const crashes = 100

func killServer(_ context.Context, s *scene) error {
	s.trial.Fleet.Expect(s.server.Process)
	s.trial.Collector.Lose(s.server.Admin)
	s.injected = time.Now()
	s.server.Process.Kill()
	return nil
}

func freezeServer(ctx context.Context, s *scene) error {
	return s.freeze(ctx, s.server.Process, func() error { return nil })
}

func killEntry(_ context.Context, s *scene) error {
	s.trial.Fleet.Expect(s.entry.Process)
	s.injected = time.Now()
	s.entry.Process.Kill()
	return nil
}

func freezeEntry(ctx context.Context, s *scene) error {
	return s.freeze(ctx, s.entry.Process, func() error { return nil })
}

// freeze stops a process for a while and does something meanwhile.
func (s *scene) freeze(ctx context.Context, p *process.Process, meanwhile func() error) error {
	s.injected = time.Now()
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	err := meanwhile()
	pause(ctx, time.Until(s.injected.Add(frozen)))
	// A stopped process must go on even after an error, or it can't be stopped in order.
	if failed := p.Signal(syscall.SIGCONT); failed != nil {
		return failed
	}
	return err
}

// stopEntry stops an entry process in order and notes how it ended.
func stopEntry(ctx context.Context, s *scene) error {
	s.trial.Fleet.Expect(s.entry.Process)
	s.injected = time.Now()
	if err := s.entry.Process.Stop(ctx); err != nil {
		s.problems = append(s.problems, err.Error())
	}
	s.stopped = time.Since(s.injected)
	return nil
}

// markLeaving announces the departure of a server.
func markLeaving(ctx context.Context, s *scene) error {
	s.injected = time.Now()
	mark, err := configuration.EncodeLeaving(configuration.Leaving{VM: s.server.Name, Author: "replay", Since: s.injected})
	if err != nil {
		return fmt.Errorf("encode leaving mark: %w", err)
	}
	return s.trial.Fleet.Put(ctx, configuration.LeavingObject(s.server.Name), mark)
}

// switched is the preset that switchPreset puts in force.
const switched = "peak"

// switchPreset switches while an entry VM is stopped and measures when that VM has followed.
func switchPreset(ctx context.Context, s *scene) error {
	s.least = 0
	err := s.freeze(ctx, s.entry.Process, func() error {
		presets := configuration.DefaultPresets()
		presets.Active = switched
		content, err := configuration.EncodePresets(presets)
		if err != nil {
			return fmt.Errorf("encode presets: %w", err)
		}
		return s.trial.Fleet.Put(ctx, configuration.PresetObject, content)
	})
	if err != nil {
		return err
	}
	woken := time.Now()
	if err := s.trial.Fleet.AwaitPreset(ctx, s.entry, switched, woken.Add(switchBound)); err != nil {
		s.problems = append(s.problems, err.Error())
	}
	s.switched = time.Since(woken)
	return nil
}

// resendCrash sends a request that crashes its server until it has been sent often enough.
func resendCrash(ctx context.Context, s *scene) error {
	for _, b := range s.trial.Fleet.Servers {
		s.trial.Fleet.Expect(b.Process)
	}
	s.injected = time.Now()
	for sent := 0; sent < crashes && ctx.Err() == nil; {
		now := time.Now()
		r := s.trial.Caller.Do(ctx, operation.Operation{
			ID: "crash", Service: s.service.Name, Key: s.keys[0], Rank: rank.Upload, Size: 1000, Crash: true,
			Intended: now, Target: time.Second, Deadline: now.Add(recoveryBound),
		})
		sent += len(r.Attempts)
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
