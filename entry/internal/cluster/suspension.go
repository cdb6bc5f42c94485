package cluster

import (
	"fmt"
	"time"

	"bramleystand.org/entry/internal/bootclock"
)

// suspensionDetector detects that the VM was suspended. The clock of time.Now stops meanwhile, so a
// former coordinator would still take its role for confirmed when the VM resumes.
type suspensionDetector struct {
	sinceBoot time.Duration
	lastCheck time.Time
}

// suspensionThreshold is the gap between the two clocks from which it counts as a suspension.
const suspensionThreshold = 200 * time.Millisecond

// newSuspensionDetector returns a detector that starts now.
func newSuspensionDetector(now time.Time) (*suspensionDetector, error) {
	boot, err := bootclock.Now()
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	return &suspensionDetector{sinceBoot: boot, lastCheck: now}, nil
}

// Detect reports whether the VM was suspended since the last call.
func (s *suspensionDetector) Detect(now time.Time) (bool, error) {
	boot, err := bootclock.Now()
	if err != nil {
		return false, fmt.Errorf("cluster: %w", err)
	}
	gap := boot - s.sinceBoot - now.Sub(s.lastCheck)
	s.sinceBoot, s.lastCheck = boot, now
	return gap > suspensionThreshold, nil
}
