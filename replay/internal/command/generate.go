package command

import (
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/replay/internal/deployment"
	"bramleystand.org/replay/internal/trace"
	"bramleystand.org/replay/internal/workload"
)

// Generate generates a trace for a deployment and writes it to a file.
type Generate struct {
	Deployment string  `default:"chikushi" enum:"chikushi,kerala" help:"Deployment to simulate: ${enum}."`
	Day        string  `default:"ordinary" enum:"ordinary,week,upload-flood,confirmation-flood" help:"Kind of day: ${enum}."`
	Seconds    int     `default:"60" help:"Length of the trace in seconds."`
	Rate       float64 `default:"100" help:"Average requests per second on an ordinary day."`
	Seed       uint64  `default:"1" help:"Random seed of the trace."`
	Output     string  `short:"o" help:"File to write; standard output by default."`
}

// Run generates and writes the trace.
func (g *Generate) Run() error {
	t, err := generate(g.Deployment, g.Day, g.Rate, time.Duration(g.Seconds)*time.Second, g.Seed)
	if err != nil {
		return fmt.Errorf("generate: %w", err)
	}
	if g.Output == "" {
		return trace.Write(os.Stdout, t)
	}
	f, err := os.Create(g.Output)
	if err != nil {
		return fmt.Errorf("generate: create trace: %w", err)
	}
	defer f.Close()
	if err := trace.Write(f, t); err != nil {
		return err
	}
	return f.Close()
}

// generate returns the trace of a deployment on a kind of day.
func generate(name, day string, rate float64, duration time.Duration, seed uint64) (*trace.Trace, error) {
	d, err := deployment.Parse(name)
	if err != nil {
		return nil, err
	}
	kind, err := workload.ParseDay(day)
	if err != nil {
		return nil, err
	}
	if rate <= 0 || duration <= 0 {
		return nil, eris.New("flags --rate and --seconds must be positive")
	}
	w := workload.Workload{Deployment: d, Day: kind, Rate: rate, Duration: duration, Seed: seed}
	return w.Trace(), nil
}
