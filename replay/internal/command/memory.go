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
	// sampleInterval is the time between two samples of the memory of a process.
	sampleInterval = 10 * time.Millisecond
	// uploadTimeout is the deadline of the large upload.
	uploadTimeout = time.Minute
)

// largeUpload returns an upload of the given size whose target time is its deadline.
func largeUpload(s deployment.Service, size int64, now time.Time) operation.Operation {
	return operation.Operation{
		ID: "large-upload", Service: s.Name, Key: s.Prefix + "-large", Rank: rank.Upload, Size: size,
		DueAt: now, Target: uploadTimeout, Deadline: now.Add(uploadTimeout),
	}
}

// residentMemory returns the resident memory of each entry process in bytes.
func residentMemory(t *trial.Trial) ([]int64, error) {
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

// peakMemory samples the resident memory of each entry process until ctx ends and returns
// the highest values.
func peakMemory(ctx context.Context, t *trial.Trial) []int64 {
	highest := make([]int64, len(t.Fleet.Entries))
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return highest
		case <-ticker.C:
		}
		now, err := residentMemory(t)
		if err != nil {
			// An error means that a process has ended, which is reported when the fleet stops.
			continue
		}
		for i, n := range now {
			highest[i] = max(highest[i], n)
		}
	}
}
