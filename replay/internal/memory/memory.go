// Package memory reads how much memory a process uses.
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
	return parse(string(content))
}

func parse(status string) (int64, error) {
	for line := range strings.Lines(status) {
		value, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		kilobytes, ok := strings.CutSuffix(strings.TrimSpace(value), " kB")
		if !ok {
			return 0, eris.Errorf("memory: VmRSS %q has no unit kB", strings.TrimSpace(value))
		}
		n, err := strconv.ParseInt(strings.TrimSpace(kilobytes), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("memory: VmRSS: %w", err)
		}
		return n << 10, nil
	}
	return 0, eris.New("memory: status has no VmRSS, the process has ended")
}
