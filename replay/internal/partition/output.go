package partition

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"bramleystand.org/replay/internal/oracle"
)

// WriteText prints a table of groups and one of processes, followed by a summary of each
// case and a line for each broken bound.
func WriteText(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "case\tkeys\tlookups\tserved\tlongest gap\tnot-run\tunknown\tlost\tlate\twrong\tafter heal\t\n")
	for _, r := range results {
		for _, g := range r.Groups {
			fmt.Fprintf(t, "%s\t%s\t%d\t%.1f%%\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t\n", r.Case, g.Name, g.Lookups, g.ranPercentage(),
				formatSeconds(g.LongestGapDuringCut), g.Refused, g.Unknown, g.Lost, g.Late, g.WrongResponses, formatSeconds(g.RecoveryTime))
		}
	}
	fmt.Fprint(t, "\t\t\t\t\t\t\t\t\t\t\t\ncase\tprocess\tbefore\tduring\tafter\tfollowed\treverted\t\n")
	for _, r := range results {
		for _, p := range r.Processes {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%s\t%d\t\n", r.Case, p.Name, p.Before, p.During, p.After, formatSeconds(p.SwitchTime), p.Reverts)
		}
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("partition: write table: %w", err)
	}
	for _, r := range results {
		fmt.Fprintf(w, "%s: double owners %d, double runs %d, false not-run %d, other rules %d, silenced connections %d\n", r.Case, r.Rules[oracle.DoubleOwner],
			r.Rules[oracle.DoubleRun], r.Rules[oracle.FalseNotRun], r.Rules[oracle.ForeignAnswer]+r.Rules[oracle.MissingRun], r.SilencedConnections)
		for _, b := range r.BrokenBounds() {
			fmt.Fprintf(w, "%s: %s\n", r.Case, b)
		}
	}
	return nil
}

func formatSeconds(d time.Duration) string {
	return fmt.Sprintf("%.2f s", d.Seconds())
}
