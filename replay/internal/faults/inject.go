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

// crashAttempts is the number of times that the crashing request is sent.
const crashAttempts = 100

// killServer kills the server. The part of its execution log that has not been read is lost.
func killServer(_ context.Context, s *caseState) error {
	s.trial.Fleet.ExpectExit(s.server.Process)
	s.trial.Collector.MarkIncomplete(s.server.AdminAddress)
	s.injectedAt = time.Now()
	s.server.Process.Kill()
	return nil
}

func freezeServer(ctx context.Context, s *caseState) error {
	return s.freeze(ctx, s.server.Process, func() error { return nil })
}

func killEntry(_ context.Context, s *caseState) error {
	s.trial.Fleet.ExpectExit(s.entry.Process)
	s.injectedAt = time.Now()
	s.entry.Process.Kill()
	return nil
}

func freezeEntry(ctx context.Context, s *caseState) error {
	return s.freeze(ctx, s.entry.Process, func() error { return nil })
}

// freeze suspends a process for freezeDuration and calls whileFrozen during that time.
func (s *caseState) freeze(ctx context.Context, p *process.Process, whileFrozen func() error) error {
	s.injectedAt = time.Now()
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	err := whileFrozen()
	pause(ctx, time.Until(s.injectedAt.Add(freezeDuration)))
	// Resume the process even after an error; otherwise it can't be stopped gracefully.
	if resumeErr := p.Signal(syscall.SIGCONT); resumeErr != nil {
		return resumeErr
	}
	return err
}

// stopEntry stops an entry process gracefully and records how long it took. An exit code
// other than 0 is recorded as a problem.
func stopEntry(ctx context.Context, s *caseState) error {
	s.trial.Fleet.ExpectExit(s.entry.Process)
	s.injectedAt = time.Now()
	if err := s.entry.Process.Stop(ctx); err != nil {
		s.problems = append(s.problems, err.Error())
	}
	s.stopTime = time.Since(s.injectedAt)
	return nil
}

// markLeaving stores the mark that announces that the server will leave.
func markLeaving(ctx context.Context, s *caseState) error {
	s.injectedAt = time.Now()
	leavingMark, err := configuration.EncodeLeaving(configuration.Leaving{VM: s.server.Name, Author: "replay", Since: s.injectedAt})
	if err != nil {
		return fmt.Errorf("encode leaving mark: %w", err)
	}
	return s.trial.Fleet.Put(ctx, configuration.LeavingObject(s.server.Name), leavingMark)
}

// switchedPreset is the preset that switchPreset activates.
const switchedPreset = "peak"

// switchPreset activates another preset while an entry VM is frozen and measures how long
// the VM takes to apply it after it resumes. No shard has to move.
func switchPreset(ctx context.Context, s *caseState) error {
	s.minMoved = 0
	err := s.freeze(ctx, s.entry.Process, func() error {
		presets := configuration.DefaultPresets()
		presets.Active = switchedPreset
		content, err := configuration.EncodePresets(presets)
		if err != nil {
			return fmt.Errorf("encode presets: %w", err)
		}
		return s.trial.Fleet.Put(ctx, configuration.PresetsObject, content)
	})
	if err != nil {
		return err
	}
	resumed := time.Now()
	if err := s.trial.Fleet.AwaitPreset(ctx, s.entry, switchedPreset, resumed.Add(switchBound)); err != nil {
		s.problems = append(s.problems, err.Error())
	}
	s.switchTime = time.Since(resumed)
	return nil
}

// resendCrashRequest sends a request that crashes its server, as one operation after the
// other, until crashAttempts attempts have been sent. Any server may end.
func resendCrashRequest(ctx context.Context, s *caseState) error {
	for _, b := range s.trial.Fleet.Servers {
		s.trial.Fleet.ExpectExit(b.Process)
	}
	s.injectedAt = time.Now()
	for sent := 0; sent < crashAttempts && ctx.Err() == nil; {
		now := time.Now()
		r := s.trial.Caller.Do(ctx, operation.Operation{
			ID: "crash", Service: s.service.Name, Key: s.keys[0], Rank: rank.Upload, Size: 1000, Crash: true,
			DueAt: now, Target: time.Second, Deadline: now.Add(recoveryBound),
		})
		sent += len(r.Attempts)
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
