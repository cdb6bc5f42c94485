package command

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/replay/internal/caller"
	"bramleystand.org/replay/internal/execution"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/operationlog"
	"bramleystand.org/replay/internal/oracle"
)

// collectTimeout bounds the time in which the execution logs of all servers are read.
const collectTimeout = 10 * time.Second

// Verify checks operation logs against the execution logs of backend servers.
type Verify struct {
	Log     []string         `required:"" type:"existingfile" help:"Operation logs of all callers that sent requests to the backend servers."`
	Backend []netip.AddrPort `required:"" help:"Admin addresses of all backend servers."`
}

// Run prints all violations of invariants and fails if there are any.
func (v *Verify) Run() error {
	ctx, stop := signalContext()
	defer stop()
	var attempts []operation.Attempt
	for _, path := range v.Log {
		list, err := readLog(path)
		if err != nil {
			return err
		}
		attempts = append(attempts, list...)
	}
	client := caller.NewClient()
	defer client.CloseIdleConnections()
	c := execution.NewCollector(client, v.Backend)
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	if err := c.Collect(ctx); err != nil {
		return fmt.Errorf("verify: %w", err)
	}
	violations := printViolations(os.Stdout, attempts, c)
	if len(violations) > 0 {
		return eris.Errorf("verify: %d violations", len(violations))
	}
	return nil
}

// printViolations checks the attempts against the collected executions, and prints and
// returns the violations.
func printViolations(w io.Writer, attempts []operation.Attempt, c *execution.Collector) []oracle.Violation {
	executions := c.Executions()
	o := oracle.New(attempts, executions, c.Incomplete())
	violations := o.Check()
	for _, v := range violations {
		fmt.Fprintln(w, v)
	}
	fmt.Fprintf(w, "verified %d attempts against %d executions: %d violations, %d answers not traceable because a server lost its log\n",
		len(attempts), len(executions), len(violations), o.Untraced())
	return violations
}

func readLog(path string) ([]operation.Attempt, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open operation log: %w", err)
	}
	defer f.Close()
	return operationlog.Read(f)
}
