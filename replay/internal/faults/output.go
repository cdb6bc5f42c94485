package faults

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"bramleystand.org/replay/internal/oracle"
)

// resultJSON is a result in the JSON output; times are in milliseconds.
type resultJSON struct {
	Case              string              `json:"case"`
	Platform          string              `json:"platform"`
	RecoveryTime      int64               `json:"recovery"`
	UnservedKeys      int                 `json:"unserved"`
	LongestGap        int64               `json:"stall"`
	ViolationCounts   map[oracle.Rule]int `json:"rules"`
	UntracedResponses int                 `json:"untraced"`
	Calls             int                 `json:"calls"`
	Failed            int                 `json:"failed"`
	UnknownOutcome    int                 `json:"unknown"`
	MovedShards       int                 `json:"moved"`
	MinMoved          int                 `json:"least"`
	NewWorkPeriod     int64               `json:"quiet,omitempty"`
	StopTime          int64               `json:"stop,omitempty"`
	SwitchTime        int64               `json:"switch,omitempty"`
	CrashedServers    int                 `json:"crashed,omitempty"`
	BrokenBounds      []string            `json:"broken"`
}

// Verdict is a result and a description of each bound that it breaks.
type Verdict struct {
	Result
	BrokenBounds []string
}

// WriteJSON writes verdicts as a JSON array.
func WriteJSON(w io.Writer, verdicts []Verdict) error {
	results := []resultJSON{}
	for _, v := range verdicts {
		results = append(results, resultJSON{
			Case: v.Case, Platform: v.platformState(), RecoveryTime: v.RecoveryTime.Milliseconds(), UnservedKeys: v.UnservedKeys,
			LongestGap: v.LongestGap.Milliseconds(), ViolationCounts: v.Violations, UntracedResponses: v.UntracedResponses, Calls: v.Calls, Failed: v.Failed, UnknownOutcome: v.UnknownOutcome,
			MovedShards: v.MovedShards, MinMoved: v.MinMoved, NewWorkPeriod: v.NewWorkPeriod.Milliseconds(), StopTime: v.StopTime.Milliseconds(),
			SwitchTime: v.SwitchTime.Milliseconds(), CrashedServers: v.CrashedServers, BrokenBounds: v.BrokenBounds,
		})
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(results); err != nil {
		return fmt.Errorf("faults: write results: %w", err)
	}
	return nil
}

// WriteTable prints verdicts as a table, followed by a line for each broken bound.
func WriteTable(w io.Writer, verdicts []Verdict) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "case\tplatform\tserved again\tstall\tdouble owners\tdouble runs\tfalse not-run\tfailed\tof\tmoved\tleast\tother\tbounds\t\n")
	for _, v := range verdicts {
		verdict := "met"
		if len(v.BrokenBounds) > 0 {
			verdict = "broken"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t\n", v.Case, v.platformState(),
			formatSeconds(v.RecoveryTime), formatSeconds(v.LongestGap), v.Violations[oracle.DoubleOwner], v.Violations[oracle.DoubleRun],
			v.Violations[oracle.FalseNotRun], v.Failed, v.Calls, v.MovedShards, v.MinMoved, v.extraFigures(), verdict)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("faults: write table: %w", err)
	}
	for _, v := range verdicts {
		for _, b := range v.BrokenBounds {
			fmt.Fprintf(w, "%s, platform %s: %s\n", v.Case, v.platformState(), b)
		}
	}
	return nil
}

// platformState returns the state of the platform as in reports.
func (r *Result) platformState() string {
	if r.PlatformDown {
		return "down"
	}
	return "up"
}

// extraFigures lists the figures that only some cases have.
func (r *Result) extraFigures() string {
	var figures []string
	for _, x := range []struct {
		name  string
		value time.Duration
	}{{"quiet", r.NewWorkPeriod}, {"stop", r.StopTime}, {"switch", r.SwitchTime}} {
		if x.value > 0 {
			figures = append(figures, x.name+" "+formatSeconds(x.value))
		}
	}
	if r.CrashedServers > 0 {
		figures = append(figures, fmt.Sprintf("crashed %d", r.CrashedServers))
	}
	return strings.Join(figures, ", ")
}

func formatSeconds(d time.Duration) string {
	return fmt.Sprintf("%.2f s", d.Seconds())
}
