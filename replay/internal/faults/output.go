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
	Case            string              `json:"case"`
	Platform        string              `json:"platform"`
	Recovery        int64               `json:"recovery"`
	Unserved        int                 `json:"unserved"`
	Stall           int64               `json:"stall"`
	Rules           map[oracle.Rule]int `json:"rules"`
	UntracedAnswers int                 `json:"untraced"`
	Calls           int                 `json:"calls"`
	Failed          int                 `json:"failed"`
	Uncertain       int                 `json:"unknown"`
	Moved           int                 `json:"moved"`
	Least           int                 `json:"least"`
	Quiet           int64               `json:"quiet,omitempty"`
	Stop            int64               `json:"stop,omitempty"`
	Switch          int64               `json:"switch,omitempty"`
	Crashed         int                 `json:"crashed,omitempty"`
	Broken          []string            `json:"broken"`
}

// Verdict is a result together with the bounds that it breaks.
type Verdict struct {
	Result
	Broken []string
}

// WriteJSON writes verdicts as a JSON array.
func WriteJSON(w io.Writer, verdicts []Verdict) error {
	list := []resultJSON{}
	for _, v := range verdicts {
		list = append(list, resultJSON{
			Case: v.Case, Platform: v.platform(), Recovery: v.Recovery.Milliseconds(), Unserved: v.Unserved,
			Stall: v.Stall.Milliseconds(), Rules: v.Violations, UntracedAnswers: v.UntracedAnswers, Calls: v.Calls, Failed: v.Failed, Uncertain: v.Uncertain,
			Moved: v.Moved, Least: v.Least, Quiet: v.Quiet.Milliseconds(), Stop: v.Stop.Milliseconds(),
			Switch: v.Switch.Milliseconds(), Crashed: v.Crashed, Broken: v.Broken,
		})
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(list); err != nil {
		return fmt.Errorf("faults: write results: %w", err)
	}
	return nil
}

// WriteTable prints verdicts as a table, with the bounds that are broken below.
func WriteTable(w io.Writer, verdicts []Verdict) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "case\tplatform\tserved again\tstall\tdouble owners\tdouble runs\tfalse not-run\tfailed\tof\tmoved\tleast\tother\tbounds\t\n")
	for _, v := range verdicts {
		verdict := "met"
		if len(v.Broken) > 0 {
			verdict = "broken"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t\n", v.Case, v.platform(),
			seconds(v.Recovery), seconds(v.Stall), v.Violations[oracle.DoubleOwner], v.Violations[oracle.DoubleRun],
			v.Violations[oracle.FalseNotRun], v.Failed, v.Calls, v.Moved, v.Least, v.other(), verdict)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("faults: write table: %w", err)
	}
	for _, v := range verdicts {
		for _, b := range v.Broken {
			fmt.Fprintf(w, "%s, platform %s: %s\n", v.Case, v.platform(), b)
		}
	}
	return nil
}

func (r *Result) platform() string {
	if r.Outage {
		return "down"
	}
	return "up"
}

// other lists the figures that only some cases have.
func (r *Result) other() string {
	var list []string
	for _, x := range []struct {
		name  string
		value time.Duration
	}{{"quiet", r.Quiet}, {"stop", r.Stop}, {"switch", r.Switch}} {
		if x.value > 0 {
			list = append(list, x.name+" "+seconds(x.value))
		}
	}
	if r.Crashed > 0 {
		list = append(list, fmt.Sprintf("crashed %d", r.Crashed))
	}
	return strings.Join(list, ", ")
}

func seconds(d time.Duration) string {
	return fmt.Sprintf("%.2f s", d.Seconds())
}
