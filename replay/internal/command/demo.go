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
	"bramleystand.org/replay/internal/load"
	"bramleystand.org/replay/internal/report"
	"bramleystand.org/replay/internal/trial"
)

// Demo runs the whole path with stand-ins.
type Demo struct {
	Setup
	Deployment string  `default:"both" enum:"both,chikushi,kerala" help:"Deployment to imitate: ${enum}."`
	Day        string  `default:"week" enum:"ordinary,week,upload-flood,confirmation-flood" help:"Kind of day: ${enum}."`
	Rate       float64 `default:"120" help:"Average requests a second on an ordinary day."`
	Seconds    int     `default:"12" help:"Length of each trace in seconds."`
	Seed       uint64  `default:"1" help:"Seed of the trace."`
	Hold       bool    `help:"After the trace, leave the first deployment running until Ctrl-C and print its addresses."`
}

// Run runs each deployment and fails if an answer or an execution is wrong or a process misbehaves.
func (d *Demo) Run() error {
	ctx, stop := interruptible()
	defer stop()
	for _, x := range deployment.All() {
		if d.Deployment != "both" && d.Deployment != x.Name {
			continue
		}
		if err := d.run(ctx, x); err != nil {
			return fmt.Errorf("demo: %s: %w", x.Name, err)
		}
		if d.Hold {
			return nil
		}
	}
	return nil
}

func (d *Demo) run(ctx context.Context, x deployment.Deployment) (err error) {
	options, clean, err := d.options(x)
	if err != nil {
		return err
	}
	defer func() { clean(err != nil) }()
	begin := time.Now()
	t, err := trial.Open(ctx, options, x.Name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, t.Close()) }()
	defer t.Fleet.Kill()
	fmt.Printf("%s: %d entry VMs and %d backend servers in %d data centres, all shards served after %s\n",
		x.Name, len(t.Fleet.Entries), len(t.Fleet.Servers), options.Centres, time.Since(begin).Round(time.Millisecond))
	if err := d.replay(ctx, t, x); err != nil {
		return errors.Join(err, t.Fleet.Stop(ctx))
	}
	if d.Hold {
		hold(ctx, t.Fleet)
		ctx = context.WithoutCancel(ctx)
	}
	stopping := time.Now()
	if err := t.Fleet.Stop(ctx); err != nil {
		return err
	}
	fmt.Printf("all processes stopped with exit code 0 within %s\n\n", time.Since(stopping).Round(time.Millisecond))
	return nil
}

// hold prints where the processes listen and waits for an interrupt.
func hold(ctx context.Context, f *fleet.Fleet) {
	fmt.Printf("platform %s\n", f.Address)
	for _, e := range f.Entries {
		fmt.Printf("entry VM %s: callers %s, admin %s\n", e.Name, e.Caller, e.Admin)
	}
	for _, s := range f.Servers {
		fmt.Printf("backend server %s: %s\n", s.Name, s.Address)
	}
	fmt.Println("press Ctrl-C to stop")
	<-ctx.Done()
}

// replay sends the trace, prints the service and verifies.
func (d *Demo) replay(ctx context.Context, t *trial.Trial, x deployment.Deployment) error {
	tr, err := generate(x.Name, d.Day, d.Rate, time.Duration(d.Seconds)*time.Second, d.Seed)
	if err != nil {
		return err
	}
	fmt.Printf("replaying %d requests of day %s in %ds\n", len(tr.Requests), d.Day, d.Seconds)
	r := report.New(tr.Expectations)
	if err := load.New(t.Caller.Do, r.Add).Run(ctx, tr, runName(tr)); err != nil {
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
