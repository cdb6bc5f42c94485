package command

import (
	"context"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"bramleystand.org/replay/internal/deployment"
	"bramleystand.org/replay/internal/faults"
	"bramleystand.org/replay/internal/partition"
)

// Faults injects failures and network partitions into a fleet of real processes.
type Faults struct {
	Setup
	Case       string  `required:"" help:"Case to run, all for all failures, or cuts for all network partitions."`
	Deployment string  `default:"kerala" enum:"chikushi,kerala" help:"Deployment to simulate: ${enum}."`
	Platform   string  `default:"both" enum:"both,up,down" help:"State of the platform during the event: ${enum}."`
	Rate       float64 `default:"60" help:"Background load in requests per second."`
	Report     string  `default:"faults.json" help:"File to which the results are written as JSON."`
}

// Run runs the cases, prints a table and fails if a guaranteed bound is broken.
func (f *Faults) Run() error {
	ctx, stop := signalContext()
	defer stop()
	d, err := deployment.Parse(f.Deployment)
	if err != nil {
		return err
	}
	if partition.IsCaseName(f.Case) {
		return f.partition(ctx, d)
	}
	var verdicts []faults.Verdict
	known, failed := false, false
	for _, c := range faults.Cases() {
		if f.Case != "all" && f.Case != c.Name {
			continue
		}
		known = true
		for _, platformDown := range []bool{false, true} {
			if platformDown && (!c.RunWithOutage || f.Platform == "up") || !platformDown && f.Platform == "down" {
				continue
			}
			v := f.run(ctx, d, c, platformDown)
			if ctx.Err() != nil {
				return fmt.Errorf("faults: %w", ctx.Err())
			}
			failed = failed || len(v.BrokenBounds) > 0
			verdicts = append(verdicts, v)
		}
	}
	if !known {
		return eris.Errorf("faults: flag --case has the unknown value %q; allowed are all, cuts and the name of a case", f.Case)
	}
	if err := f.writeResults(verdicts); err != nil {
		return err
	}
	if failed {
		return eris.New("faults: a guaranteed bound is broken")
	}
	return nil
}

// run runs a case. A case that could not be completed counts as a broken bound.
func (f *Faults) run(ctx context.Context, d deployment.Deployment, c faults.Case, platformDown bool) faults.Verdict {
	fmt.Fprintf(os.Stderr, "%s, platform down: %t\n", c.Name, platformDown)
	notCompleted := func(err error) faults.Verdict {
		return faults.Verdict{Result: faults.Result{Case: c.Name, PlatformDown: platformDown}, BrokenBounds: []string{"not completed: " + err.Error()}}
	}
	options, cleanUp, err := f.options(d)
	if err != nil {
		return notCompleted(err)
	}
	r, err := faults.New(options, f.Rate, os.Stderr).Run(ctx, c, platformDown)
	if err != nil {
		cleanUp(true)
		return notCompleted(err)
	}
	broken := r.BrokenBounds(c)
	cleanUp(len(broken) > 0)
	return faults.Verdict{Result: *r, BrokenBounds: broken}
}

// writeResults prints the results as a table and writes them to the report file.
func (f *Faults) writeResults(verdicts []faults.Verdict) error {
	if err := faults.WriteTable(os.Stdout, verdicts); err != nil {
		return err
	}
	file, err := os.Create(f.Report)
	if err != nil {
		return fmt.Errorf("faults: create report: %w", err)
	}
	defer file.Close()
	if err := faults.WriteJSON(file, verdicts); err != nil {
		return err
	}
	return file.Close()
}
