// Package bootclock reads the clock of the VM that also runs while the VM is suspended.
//
// # Usage
//
//	sinceBoot, err := bootclock.Now()
package bootclock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted, including suspensions.
func Now() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, fmt.Errorf("bootclock: read the boot clock: %w", err)
	}
	return time.Duration(t.Nano()), nil
}
