// Package usage reads the processor time, the I/O and the memory that a process has
// used.
//
// # Usage
//
//	before, err := usage.Read(pid)
//	// Wait.
//	after, err := usage.Read(pid)
//	fmt.Println(after.Since(before).CPU)
package usage

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/replay/internal/memory"
)

// clockTick is the unit of the processor times in /proc. Linux uses 100 ticks per
// second in all interfaces for user space.
const clockTick = 10 * time.Millisecond

// Usage holds what a process has used since its start or since an earlier reading.
type Usage struct {
	At  time.Time
	CPU time.Duration
	// Read and Written are the bytes of all read and write calls: those on sockets,
	// without TCP and IP headers, and those for the log.
	Read    int64
	Written int64
	// IOCalls is the number of read and write calls.
	IOCalls int64
	// Resident is the resident set size in bytes at the time of reading.
	Resident int64
}

// Read returns the usage of a process.
func Read(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, fmt.Errorf("usage: %w", err)
	}
	io, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return Usage{}, fmt.Errorf("usage: %w", err)
	}
	u := Usage{At: time.Now()}
	if u.CPU, err = parseCPU(string(stat)); err != nil {
		return Usage{}, err
	}
	if err := u.parseIO(string(io)); err != nil {
		return Usage{}, err
	}
	if u.Resident, err = memory.Resident(pid); err != nil {
		return Usage{}, fmt.Errorf("usage: %w", err)
	}
	return u, nil
}

// Since returns what was used after an earlier reading. Resident and At stay those of
// the later one.
func (u Usage) Since(earlier Usage) Usage {
	u.CPU -= earlier.CPU
	u.Read -= earlier.Read
	u.Written -= earlier.Written
	u.IOCalls -= earlier.IOCalls
	return u
}

// parseCPU returns the sum of the times in user and kernel mode, which are the 14th
// and 15th field. The second field is the name of the process in parentheses. It may
// contain spaces and parentheses, so the fields are counted from its end.
func parseCPU(stat string) (time.Duration, error) {
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	if len(fields) < 13 {
		return 0, eris.Errorf("usage: stat %q has too few fields", stat)
	}
	var sum time.Duration
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("usage: processor time: %w", err)
		}
		sum += time.Duration(n) * clockTick
	}
	return sum, nil
}

func (u *Usage) parseIO(text string) error {
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return fmt.Errorf("usage: %s: %w", name, err)
		}
		switch name {
		case "rchar":
			u.Read = n
		case "wchar":
			u.Written = n
		case "syscr", "syscw":
			u.IOCalls += n
		}
	}
	return nil
}
