// Package memory reads the memory use of a process from /proc.
//
// # Usage
//
//	bytes, err := memory.Resident(pid)
package memory

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Resident returns the resident set size of a process in bytes.
func Resident(pid int) (int64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("memory: %w", err)
	}
	return parseResident(string(content))
}

func parseResident(status string) (int64, error) {
	for line := range strings.Lines(status) {
		value, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		kibibytes, ok := strings.CutSuffix(strings.TrimSpace(value), " kB")
		if !ok {
			return 0, eris.Errorf("memory: VmRSS %q has no unit kB", strings.TrimSpace(value))
		}
		n, err := strconv.ParseInt(strings.TrimSpace(kibibytes), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("memory: VmRSS: %w", err)
		}
		return n << 10, nil
	}
	return 0, eris.New("memory: status has no VmRSS, so the process has ended")
}
