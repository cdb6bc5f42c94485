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

// Faults runs real processes under failure.
type Faults struct {
	Setup
	Case       string  `required:"" help:"Case to run, or all."`
	Deployment string  `default:"kerala" enum:"chikushi,kerala" help:"Deployment to imitate: ${enum}."`
	Platform   string  `default:"both" enum:"both,up,down" help:"State of the platform: ${enum}."`
	Rate       float64 `default:"60" help:"Background load in requests a second."`
	Report     string  `default:"faults.json" help:"File for the results."`
}

// Run runs the cases, prints a table and fails if a stated bound is broken.
func (f *Faults) Run() error {
	ctx, stop := interruptible()
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
		return eris.Errorf("faults: case %q is unknown", f.Case)
	}
	if err := f.write(verdicts); err != nil {
		return err
	}
	if failed {
		return eris.New("faults: a stated bound is broken")
	}
	return nil
}

// run returns the verdict on a case; a case that could not be carried out counts as broken.
func (f *Faults) run(ctx context.Context, d deployment.Deployment, c faults.Case, platformDown bool) faults.Verdict {
	fmt.Fprintf(os.Stderr, "%s, platform down: %t\n", c.Name, platformDown)
	failed := func(err error) faults.Verdict {
		return faults.Verdict{Result: faults.Result{Case: c.Name, PlatformDown: platformDown}, BrokenBounds: []string{"not carried out: " + err.Error()}}
	}
	options, clean, err := f.options(d)
	if err != nil {
		return failed(err)
	}
	r, err := faults.New(options, f.Rate, os.Stderr).Run(ctx, c, platformDown)
	if err != nil {
		clean(true)
		return failed(err)
	}
	broken := r.BrokenBounds(c)
	clean(len(broken) > 0)
	return faults.Verdict{Result: *r, BrokenBounds: broken}
}

func (f *Faults) write(verdicts []faults.Verdict) error {
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
