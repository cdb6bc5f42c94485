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
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/operationlog"
	"bramleystand.org/replay/internal/replayer"
	"bramleystand.org/replay/internal/report"
	"bramleystand.org/replay/internal/trace"
)

// Run replays a trace against running entry VMs.
type Run struct {
	Trace  string           `required:"" type:"existingfile" help:"Trace to replay."`
	Entry  []netip.AddrPort `required:"" help:"Addresses at which the entry VMs serve callers."`
	Report string           `required:"" help:"File to which the report is written as JSON."`
	Log    string           `default:"operations.jsonl" help:"File to which the operation log is written."`
}

// Run replays the trace, prints the results per rank and writes the report.
func (r *Run) Run() error {
	ctx, stop := signalContext()
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

// signalContext returns a context that ends on Ctrl-C or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// runName returns a name that is unique among all runs against the same fleet. It contains
// the current time.
func runName(t *trace.Trace) string {
	return fmt.Sprintf("%s-%x", t.Deployment, time.Now().UnixMicro())
}

// replayTrace replays a trace against entry VMs and logs every attempt. After an error the
// report contains the operations up to it.
func replayTrace(ctx context.Context, t *trace.Trace, entries []netip.AddrPort, name string, log func(operation.Attempt)) (*report.Report, error) {
	client := caller.NewClient()
	defer client.CloseIdleConnections()
	r := report.New(t.Objectives)
	c := caller.New(client, entries, log)
	return r, replayer.New(c.Do, r.Add).Run(ctx, t, name)
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
