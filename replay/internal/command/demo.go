package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/replay/internal/deployment"
	"bramleystand.org/replay/internal/fleet"
	"bramleystand.org/replay/internal/replayer"
	"bramleystand.org/replay/internal/report"
	"bramleystand.org/replay/internal/trial"
)

// Demo runs a complete installation with a simulated platform and simulated backend servers.
type Demo struct {
	Setup
	Deployment string  `default:"both" enum:"both,chikushi,kerala" help:"Deployment to simulate: ${enum}."`
	Day        string  `default:"week" enum:"ordinary,week,upload-flood,confirmation-flood" help:"Kind of day: ${enum}."`
	Rate       float64 `default:"120" help:"Average requests per second on an ordinary day."`
	Seconds    int     `default:"12" help:"Length of each trace in seconds."`
	Seed       uint64  `default:"1" help:"Random seed of the trace."`
	Hold       bool    `help:"After the trace, print the addresses of the first deployment and keep it running until Ctrl-C."`
}

// Run runs each deployment. It fails if an invariant is violated or a process does not exit
// with code 0.
func (d *Demo) Run() error {
	ctx, stop := signalContext()
	defer stop()
	for _, dep := range deployment.All() {
		if d.Deployment != "both" && d.Deployment != dep.Name {
			continue
		}
		if err := d.run(ctx, dep); err != nil {
			return fmt.Errorf("demo: %s: %w", dep.Name, err)
		}
		if d.Hold {
			return nil
		}
	}
	return nil
}

func (d *Demo) run(ctx context.Context, dep deployment.Deployment) (err error) {
	options, cleanUp, err := d.options(dep)
	if err != nil {
		return err
	}
	defer func() { cleanUp(err != nil) }()
	begin := time.Now()
	t, err := trial.Open(ctx, options, dep.Name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, t.Close()) }()
	defer t.Fleet.Kill()
	fmt.Printf("%s: %d entry VMs and %d backend servers in %d data centres, all shards served after %s\n",
		dep.Name, len(t.Fleet.Entries), len(t.Fleet.Servers), options.Centres, time.Since(begin).Round(time.Millisecond))
	if err := d.replayAndVerify(ctx, t, dep); err != nil {
		return errors.Join(err, t.Fleet.Stop(ctx))
	}
	if d.Hold {
		holdUntilInterrupt(ctx, t.Fleet)
		ctx = context.WithoutCancel(ctx)
	}
	stopping := time.Now()
	if err := t.Fleet.Stop(ctx); err != nil {
		return err
	}
	fmt.Printf("all processes stopped with exit code 0 within %s\n\n", time.Since(stopping).Round(time.Millisecond))
	return nil
}

// holdUntilInterrupt prints the addresses of the processes and waits until ctx ends.
func holdUntilInterrupt(ctx context.Context, f *fleet.Fleet) {
	fmt.Printf("platform %s\n", f.Address)
	for _, e := range f.Entries {
		fmt.Printf("entry VM %s: callers %s, admin %s\n", e.Name, e.CallerAddress, e.AdminAddress)
	}
	for _, s := range f.Servers {
		fmt.Printf("backend server %s: %s\n", s.Name, s.Address)
	}
	fmt.Println("press Ctrl-C to stop")
	<-ctx.Done()
}

// replayAndVerify replays a generated trace, prints the results per rank and checks the
// invariants.
func (d *Demo) replayAndVerify(ctx context.Context, t *trial.Trial, dep deployment.Deployment) error {
	tr, err := generate(dep.Name, d.Day, d.Rate, time.Duration(d.Seconds)*time.Second, d.Seed)
	if err != nil {
		return err
	}
	fmt.Printf("replaying %d requests of day %s in %ds\n", len(tr.Requests), d.Day, d.Seconds)
	r := report.New(tr.Objectives)
	if err := replayer.New(t.Caller.Do, r.Add).Run(ctx, tr, runName(tr)); err != nil {
		return err
	}
	if err := r.WriteTable(os.Stdout); err != nil {
		return err
	}
	o, err := t.Oracle(ctx)
	if err != nil {
		return err
	}
	violations := o.Check()
	for _, v := range violations {
		fmt.Println(v)
	}
	fmt.Printf("verified %d attempts: %d violations\n", len(t.Attempts()), len(violations))
	if len(violations) > 0 {
		return eris.Errorf("%d violations", len(violations))
	}
	return nil
}
