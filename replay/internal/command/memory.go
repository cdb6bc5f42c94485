package command

import (
	"context"
	"time"

	"bramleystand.org/common/rank"
	"bramleystand.org/replay/internal/deployment"
	"bramleystand.org/replay/internal/memory"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/trial"
)

const (
	// sampleInterval is the time between two readings of a process's memory.
	sampleInterval = 10 * time.Millisecond
	// uploadTimeout bounds the large upload.
	uploadTimeout = time.Minute
)

func largeUpload(s deployment.Service, size int64, now time.Time) operation.Operation {
	return operation.Operation{
		ID: "large-upload", Service: s.Name, Key: s.Prefix + "-large", Rank: rank.Upload, Size: size,
		Intended: now, Target: uploadTimeout, Deadline: now.Add(uploadTimeout),
	}
}

// resident returns the memory of each entry process in bytes.
func resident(t *trial.Trial) ([]int64, error) {
	var list []int64
	for _, e := range t.Fleet.Entries {
		n, err := memory.Resident(e.Process.PID())
		if err != nil {
			return nil, err
		}
		list = append(list, n)
	}
	return list, nil
}

// watch returns the highest memory of each entry process until ctx ends.
func watch(ctx context.Context, t *trial.Trial) []int64 {
	highest := make([]int64, len(t.Fleet.Entries))
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return highest
		case <-ticker.C:
		}
		now, err := resident(t)
		if err != nil {
			// A process that has ended is reported when the fleet is stopped.
			continue
		}
		for i, n := range now {
			highest[i] = max(highest[i], n)
		}
	}
}
