package command

import (
	"context"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"bramleystand.org/replay/internal/deployment"
	"bramleystand.org/replay/internal/partition"
)

// partition runs the cases in which VMs are cut off from each other.
func (f *Faults) partition(ctx context.Context, d deployment.Deployment) error {
	f.Centres = max(f.Centres, partition.Centres)
	var results []*partition.Result
	broken := false
	for _, c := range partition.Cases() {
		if f.Case != partition.AllCases && f.Case != c.Name {
			continue
		}
		r, err := f.cut(ctx, d, c)
		if err != nil {
			return err
		}
		results = append(results, r)
		broken = broken || len(r.BrokenBounds()) > 0
	}
	if err := partition.WriteText(os.Stdout, results); err != nil {
		return err
	}
	if err := f.writeCuts(results); err != nil {
		return err
	}
	if broken {
		return eris.New("faults: a stated bound is broken")
	}
	return nil
}

func (f *Faults) writeCuts(results []*partition.Result) error {
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

func (f *Faults) cut(ctx context.Context, d deployment.Deployment, c partition.Case) (r *partition.Result, err error) {
	options, clean, err := f.options(d)
	if err != nil {
		return nil, err
	}
	options.Relayed = true
	defer func() { clean(err != nil || len(r.BrokenBounds()) > 0) }()
	fmt.Fprintln(os.Stderr, c.Name)
	return partition.New(options, f.Rate, os.Stderr).Run(ctx, c)
}
