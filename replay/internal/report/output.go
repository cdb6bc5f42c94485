package report

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"bramleystand.org/common/rank"
	"bramleystand.org/replay/internal/operation"
)

type reportJSON struct {
	Attempts       int        `json:"attempts"`
	WrongResponses int        `json:"faults"`
	Ranks          []rankJSON `json:"ranks"`
}

type rankJSON struct {
	Rank           string         `json:"rank"`
	Total          int            `json:"total"`
	ClassCounts    map[string]int `json:"ends"`
	Share          float64        `json:"share"`
	ObjectiveShare float64        `json:"expect"`
	Target         int64          `json:"target"`
	Met            bool           `json:"met"`
	Median         int64          `json:"median"`
	P99            int64          `json:"p99"`
	P999           int64          `json:"p999"`
	Longest        int64          `json:"longest"`
}

// WriteJSON writes the report as JSON, with response times in microseconds and
// targets in milliseconds.
func (r *Report) WriteJSON(w io.Writer) error {
	out := reportJSON{Attempts: r.Attempts(), WrongResponses: r.WrongResponses()}
	for i := range rank.Count {
		s := r.RankSummary(rank.Rank(i))
		classCounts := map[string]int{}
		for _, c := range operation.Classes {
			classCounts[c.String()] = s.Counts[c]
		}
		out.Ranks = append(out.Ranks, rankJSON{
			Rank: s.Rank.String(), Total: s.Total, ClassCounts: classCounts, Share: s.Share(), ObjectiveShare: s.Objective.Share,
			Target: s.Objective.Target.Milliseconds(), Met: s.Met(), Median: s.Median.Microseconds(),
			P99: s.P99.Microseconds(), P999: s.P999.Microseconds(), Longest: s.Max.Microseconds(),
		})
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(out); err != nil {
		return fmt.Errorf("report: write: %w", err)
	}
	return nil
}

// WriteTable writes the report as a text table.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "rank\ttotal\tcompleted\tlate\trefused\tunknown\tlost\tin target %\texpected\tmedian\t99%\t99.9%\tlongest\t\n")
	for i := range rank.Count {
		s := r.RankSummary(rank.Rank(i))
		fmt.Fprintf(t, "%s\t%d\t", s.Rank, s.Total)
		for _, c := range operation.Classes {
			fmt.Fprintf(t, "%d\t", s.Counts[c])
		}
		fmt.Fprintf(t, "%.2f\t%s\t%s\t%s\t%s\t%s\t\n", s.Share(), s.describeObjective(),
			formatDuration(s.Median), formatDuration(s.P99), formatDuration(s.P999), formatDuration(s.Max))
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("report: write table: %w", err)
	}
	return nil
}

func (s *RankSummary) describeObjective() string {
	verdict := "missed"
	if s.Met() {
		verdict = "met"
	}
	if s.Objective.Lossless {
		return "none lost: " + verdict
	}
	return fmt.Sprintf("%g in %s: %s", s.Objective.Share, s.Objective.Target, verdict)
}

func formatDuration(d time.Duration) string {
	return d.Round(100 * time.Microsecond).String()
}
