package command

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"bramleystand.org/bramleyctl/internal/evidence"
	"bramleystand.org/bramleyctl/internal/logline"
)

// maxRelatedLines limits the lines that are printed as evidence for one request.
const maxRelatedLines = 12

type explainCommand struct {
	ID     string   `arg:"" optional:"" help:"Identifier of the request; not allowed with --sample."`
	Logs   []string `help:"Log files of entry processes." type:"existingfile" required:""`
	Sample int      `help:"Explain this many failed requests, drawn at random from the logs."`
	Seed   uint64   `help:"Random seed for --sample." default:"1"`
}

// explanationJSON is the JSON form of an explanation.
type explanationJSON struct {
	ID      string   `json:"id"`
	Cause   string   `json:"cause"`
	Found   bool     `json:"found"`
	Lines   []string `json:"lines"`
	Related []string `json:"related"`
}

// Run prints the cause of each request and, for a sample without --json, how many causes were found.
func (c explainCommand) Run(s *session) error {
	if (c.ID == "") == (c.Sample <= 0) {
		return fmt.Errorf("%w: a request identifier and --sample are both given or both missing, allowed: one of them", errInvalid)
	}
	lines, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	ids := []string{c.ID}
	if c.ID == "" {
		ids = sampleFailed(lines, c.Sample, c.Seed)
	}
	found := 0
	for _, id := range ids {
		e := evidence.Explain(lines, id)
		if e.Found {
			found++
		}
		if err := s.printExplanation(e); err != nil {
			return err
		}
	}
	if c.Sample > 0 && !s.commandLine.JSON {
		_, err = fmt.Fprintf(s.out, "cause found for %d of %d failed requests\n", found, len(ids))
	}
	return err
}

// printExplanation prints the cause of one request, its own lines and the latest lines of evidence.
func (s *session) printExplanation(e evidence.Explanation) error {
	printed := explanationJSON{ID: e.ID, Cause: e.Cause, Found: e.Found, Lines: formatLines(e.Lines), Related: formatLines(e.Related)}
	if s.commandLine.JSON {
		return s.printJSON(printed)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s: %s\n", printed.ID, printed.Cause)
	for _, l := range printed.Lines {
		fmt.Fprintf(&out, "  %s\n", l)
	}
	if n := len(printed.Related) - maxRelatedLines; n > 0 {
		fmt.Fprintf(&out, "  evidence (%d earlier lines not shown):\n", n)
		printed.Related = printed.Related[n:]
	} else if len(printed.Related) > 0 {
		fmt.Fprintf(&out, "  evidence:\n")
	}
	for _, l := range printed.Related {
		fmt.Fprintf(&out, "  %s\n", l)
	}
	_, err := fmt.Fprint(s.out, out.String())
	return err
}

// readLogs reads the lines of all files and sorts them by the reference clock.
func readLogs(files []string) ([]logline.Line, error) {
	var all []logline.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("open log: %w", err)
		}
		lines, _, err := logline.Read(f)
		_ = f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, lines...)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%w: no log lines in %s", errInvalid, strings.Join(files, ", "))
	}
	return logline.Order(all), nil
}

// sampleFailed returns the identifiers of up to n failed requests, drawn at random; the same seed
// gives the same sample.
func sampleFailed(lines []logline.Line, n int, seed uint64) []string {
	var ids []string
	for _, l := range lines {
		if l.Message == "request not served" || l.Message == "request refused" {
			ids = append(ids, l.Text("id"))
		}
	}
	random := rand.New(rand.NewPCG(seed, seed))
	random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(n, len(ids))]
}

// formatLines returns lines as text, each with its time on the reference clock, the process, the
// message and the other fields sorted by name.
func formatLines(lines []logline.Line) []string {
	var formatted []string
	for _, l := range lines {
		text := fmt.Sprintf("%s %s: %s", l.CommonTime().UTC().Format("15:04:05.000"), l.Process, l.Message)
		if l.ClockAhead != 0 {
			text += fmt.Sprintf(" (clock %d ms ahead)", l.ClockAhead.Milliseconds())
		}
		fields := l.Fields()
		names := make([]string, 0, len(fields))
		for name := range fields {
			if name != "name" && name != "program" {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		for _, name := range names {
			text += fmt.Sprintf(" %s=%v", name, formatValue(fields[name]))
		}
		formatted = append(formatted, text)
	}
	return formatted
}

// formatValue formats numbers without an exponent, which fmt uses for large ones.
func formatValue(v any) any {
	if n, ok := v.(float64); ok {
		return strconv.FormatFloat(n, 'f', -1, 64)
	}
	return v
}

// loggedOwnership is the JSON form of the owner of a key according to the logs.
type loggedOwnership struct {
	Service string   `json:"service"`
	Key     int64    `json:"key"`
	Owner   string   `json:"owner"`
	Since   string   `json:"since"`
	Why     string   `json:"why"`
	History []string `json:"history"`
}

// runFromLogs prints the owner of a key, and the changes that led to it, from the logs of the
// coordinators.
func (c ownerCommand) runFromLogs(s *session) error {
	key, err := strconv.ParseInt(c.Key, 10, 64)
	if err != nil {
		return fmt.Errorf("%w: key: %q is not allowed, allowed: a number", errInvalid, c.Key)
	}
	lines, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	at := c.At
	if at.IsZero() {
		at = lines[len(lines)-1].CommonTime()
	}
	owner, line := evidence.Owner(lines, c.Service, key, at)
	o := loggedOwnership{Service: c.Service, Key: key, Owner: owner, History: evidence.History(lines, c.Service, key, at)}
	if !line.At.IsZero() {
		o.Since = line.CommonTime().UTC().Format(time.RFC3339Nano)
	}
	if len(o.History) > 0 {
		o.Why = o.History[len(o.History)-1]
	}
	if s.commandLine.JSON {
		return s.printJSON(o)
	}
	if err := s.printTable([][]any{{"SERVICE", "KEY", "OWNER", "SINCE"}, {o.Service, o.Key, orNone(o.Owner), orNone(o.Since)}}); err != nil {
		return err
	}
	for _, h := range o.History {
		if _, err := fmt.Fprintf(s.out, "  %s\n", h); err != nil {
			return err
		}
	}
	return nil
}
