// Package usage reads what a process has used of the processor, the network and the memory.
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

// tick is the unit of the processor times in /proc; Linux fixes it for user space.
const tick = 10 * time.Millisecond

// Usage is what a process has used since its start.
type Usage struct {
	At  time.Time
	CPU time.Duration
	// Read and Written count the bytes of all read and write calls: those on
	// sockets without the headers of TCP and IP, and the log.
	Read    int64
	Written int64
	// Calls counts the read and write calls.
	Calls int64
	// Resident is the memory at the time of reading.
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

// Since returns what was used after an earlier reading; the memory stays that of the later one.
func (u Usage) Since(o Usage) Usage {
	u.CPU -= o.CPU
	u.Read -= o.Read
	u.Written -= o.Written
	u.Calls -= o.Calls
	return u
}

// parseCPU returns the time in user and kernel mode, the 14th and 15th field. The
// second is the name in parentheses, which may contain spaces.
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
		sum += time.Duration(n) * tick
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
			u.Calls += n
		}
	}
	return nil
}
