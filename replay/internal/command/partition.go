package command

import (
	"context"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"bramleystand.org/replay/internal/deployment"
	"bramleystand.org/replay/internal/partition"
)

// partition runs the network partition cases, prints tables and writes the report.
func (f *Faults) partition(ctx context.Context, d deployment.Deployment) error {
	f.Centres = max(f.Centres, partition.Centres)
	var results []*partition.Result
	broken := false
	for _, c := range partition.Cases() {
		if f.Case != partition.AllCases && f.Case != c.Name {
			continue
		}
		r, err := f.runPartitionCase(ctx, d, c)
		if err != nil {
			return err
		}
		results = append(results, r)
		broken = broken || len(r.BrokenBounds()) > 0
	}
	if err := partition.WriteText(os.Stdout, results); err != nil {
		return err
	}
	if err := f.writePartitionResults(results); err != nil {
		return err
	}
	if broken {
		return eris.New("faults: a guaranteed bound is broken")
	}
	return nil
}

// writePartitionResults writes the results to the report file.
func (f *Faults) writePartitionResults(results []*partition.Result) error {
	file, err := os.Create(f.Report)
	if err != nil {
		return fmt.Errorf("faults: create report: %w", err)
	}
	defer file.Close()
	if err := partition.WriteJSON(file, results); err != nil {
		return err
	}
	return file.Close()
}

// runPartitionCase runs a case on a newly started fleet. The files of the fleet are kept if
// the case fails.
func (f *Faults) runPartitionCase(ctx context.Context, d deployment.Deployment, c partition.Case) (r *partition.Result, err error) {
	options, cleanUp, err := f.options(d)
	if err != nil {
		return nil, err
	}
	options.Relayed = true
	defer func() { cleanUp(err != nil || len(r.BrokenBounds()) > 0) }()
	fmt.Fprintln(os.Stderr, c.Name)
	return partition.New(options, f.Rate, os.Stderr).Run(ctx, c)
}
