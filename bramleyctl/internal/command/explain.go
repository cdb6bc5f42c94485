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

// mostRelated bounds the lines that are shown as evidence for one request.
const mostRelated = 12

type explainCommand struct {
	ID     string   `arg:"" optional:"" help:"Identifier of the request; with --sample it is not given."`
	Logs   []string `help:"Log files of entry processes." type:"existingfile" required:""`
	Sample int      `help:"Explain so many of the failed requests in the logs."`
	Seed   uint64   `help:"Seed of the draw of --sample." default:"1"`
}

// explained is an explanation as it is printed.
type explained struct {
	ID      string   `json:"id"`
	Cause   string   `json:"cause"`
	Found   bool     `json:"found"`
	Lines   []string `json:"lines"`
	Related []string `json:"related"`
}

// Run prints the causes.
func (c explainCommand) Run(s *session) error {
	if (c.ID == "") == (c.Sample <= 0) {
		return fmt.Errorf("%w: an identifier and --sample together or neither are not allowed, allowed: one of them", errInvalid)
	}
	lines, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	ids := []string{c.ID}
	if c.ID == "" {
		ids = drawFailed(lines, c.Sample, c.Seed)
	}
	found := 0
	for _, id := range ids {
		e := evidence.Explain(lines, id)
		if e.Found {
			found++
		}
		if err := s.explanation(e); err != nil {
			return err
		}
	}
	if c.Sample > 0 && !s.line.JSON {
		_, err = fmt.Fprintf(s.out, "cause found for %d of %d failed requests\n", found, len(ids))
	}
	return err
}

// explanation prints one explanation.
func (s *session) explanation(e evidence.Explanation) error {
	x := explained{ID: e.ID, Cause: e.Cause, Found: e.Found, Lines: formatLines(e.Lines), Related: formatLines(e.Related)}
	if s.line.JSON {
		return s.json(x)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s: %s\n", x.ID, x.Cause)
	for _, l := range x.Lines {
		fmt.Fprintf(&out, "  %s\n", l)
	}
	if n := len(x.Related) - mostRelated; n > 0 {
		fmt.Fprintf(&out, "  evidence (%d earlier lines not shown):\n", n)
		x.Related = x.Related[n:]
	} else if len(x.Related) > 0 {
		fmt.Fprintf(&out, "  evidence:\n")
	}
	for _, l := range x.Related {
		fmt.Fprintf(&out, "  %s\n", l)
	}
	_, err := fmt.Fprint(s.out, out.String())
	return err
}

// readLogs reads the lines of all files in the order of a common clock.
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

// drawFailed returns the identifiers of failed requests, drawn by a seed.
func drawFailed(lines []logline.Line, n int, seed uint64) []string {
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

// formatLines returns lines with the common time, the process and all fields in the order of their names.
func formatLines(lines []logline.Line) []string {
	var out []string
	for _, l := range lines {
		text := fmt.Sprintf("%s %s: %s", l.Time().UTC().Format("15:04:05.000"), l.Name, l.Message)
		if l.Ahead != 0 {
			text += fmt.Sprintf(" (clock %d ms ahead)", l.Ahead.Milliseconds())
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
		out = append(out, text)
	}
	return out
}

// formatValue writes large numbers without an exponent.
func formatValue(v any) any {
	if n, ok := v.(float64); ok {
		return strconv.FormatFloat(n, 'f', -1, 64)
	}
	return v
}

// ownedFrom is who owns a key by the logs.
type ownedFrom struct {
	Service string   `json:"service"`
	Key     int64    `json:"key"`
	Owner   string   `json:"owner"`
	Since   string   `json:"since"`
	Why     string   `json:"why"`
	History []string `json:"history"`
}

// fromLogs prints who owned a key by the logs of the coordinators.
func (c ownerCommand) fromLogs(s *session) error {
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
		at = lines[len(lines)-1].Time()
	}
	owner, line := evidence.Owner(lines, c.Service, key, at)
	o := ownedFrom{Service: c.Service, Key: key, Owner: owner, History: evidence.History(lines, c.Service, key, at)}
	if !line.At.IsZero() {
		o.Since = line.Time().UTC().Format(time.RFC3339Nano)
	}
	if len(o.History) > 0 {
		o.Why = o.History[len(o.History)-1]
	}
	if s.line.JSON {
		return s.json(o)
	}
	if err := s.table([][]any{{"SERVICE", "KEY", "OWNER", "SINCE"}, {o.Service, o.Key, orNone(o.Owner), orNone(o.Since)}}); err != nil {
		return err
	}
	for _, h := range o.History {
		if _, err := fmt.Fprintf(s.out, "  %s\n", h); err != nil {
			return err
		}
	}
	return nil
}
