// Package processortime reads the processor time that this process has used.
//
// # Usage
//
//	used, err := processortime.Used()
package processortime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Used returns the processor time of all threads of the process since its start.
func Used() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t); err != nil {
		return 0, fmt.Errorf("processortime: %w", err)
	}
	return time.Duration(t.Nano()), nil
}
