package command

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"bramleystand.org/replay/internal/caller"
	"bramleystand.org/replay/internal/load"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/operationlog"
	"bramleystand.org/replay/internal/report"
	"bramleystand.org/replay/internal/trace"
)

// Run replays a trace.
type Run struct {
	Trace  string           `required:"" type:"existingfile" help:"Trace to replay."`
	Entry  []netip.AddrPort `required:"" help:"Caller addresses of the entry VMs."`
	Report string           `required:"" help:"File for the report."`
	Log    string           `default:"operations.jsonl" help:"File for the operation log."`
}

// Run replays the trace, prints the service per rank and fails if it is not as expected.
func (r *Run) Run() error {
	ctx, stop := interruptible()
	defer stop()
	t, err := readTrace(r.Trace)
	if err != nil {
		return err
	}
	f, err := os.Create(r.Log)
	if err != nil {
		return fmt.Errorf("run: create operation log: %w", err)
	}
	defer f.Close()
	log := operationlog.New(f)
	result, runErr := replayTrace(ctx, t, r.Entry, runName(t), log.Add)
	return errors.Join(runErr, log.Close(), result.WriteTable(os.Stdout), writeReport(r.Report, result))
}

// interruptible returns a context that ends with Ctrl-C or SIGTERM.
func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// runName returns a name that no other run against the same fleet has.
func runName(t *trace.Trace) string {
	return fmt.Sprintf("%s-%x", t.Deployment, time.Now().UnixMicro())
}

// replayTrace replays a trace against entry VMs; the report holds what was done until an error.
func replayTrace(ctx context.Context, t *trace.Trace, entries []netip.AddrPort, name string, log func(operation.Attempt)) (*report.Report, error) {
	client := caller.Client()
	defer client.CloseIdleConnections()
	r := report.New(t.Expectations)
	c := caller.New(client, entries, log)
	return r, load.New(c.Do, r.Add).Run(ctx, t, name)
}

func readTrace(path string) (*trace.Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open trace: %w", err)
	}
	defer f.Close()
	return trace.Read(f)
}

func writeReport(path string, r *report.Report) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create report: %w", err)
	}
	defer f.Close()
	if err := r.WriteJSON(f); err != nil {
		return err
	}
	return f.Close()
}
