package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"bramleystand.org/common/rank"
)

type headerLine struct {
	Deployment     string          `json:"deployment"`
	Day            string          `json:"day"`
	Seed           uint64          `json:"seed"`
	ObjectiveLines []objectiveLine `json:"expect"`
}

type objectiveLine struct {
	Rank     string  `json:"rank"`
	Share    float64 `json:"share"`
	Target   int64   `json:"target"`
	Timeout  int64   `json:"timeout"`
	Lossless bool    `json:"lossless,omitempty"`
}

type requestLine struct {
	At      int64  `json:"at"`
	Service string `json:"service"`
	Key     string `json:"key"`
	Rank    string `json:"rank"`
	Size    int64  `json:"size,omitempty"`
	Target  int64  `json:"target"`
}

// Write writes a trace as JSON lines, with arrivals in microseconds, targets and
// timeouts in milliseconds and sizes in bytes.
func Write(w io.Writer, t *Trace) error {
	b := bufio.NewWriter(w)
	e := json.NewEncoder(b)
	header := headerLine{Deployment: t.Deployment, Day: t.Day, Seed: t.Seed}
	for i, x := range t.Objectives {
		header.ObjectiveLines = append(header.ObjectiveLines, objectiveLine{
			Rank: rank.Rank(i).String(), Share: x.Share, Target: x.Target.Milliseconds(),
			Timeout: x.Timeout.Milliseconds(), Lossless: x.Lossless,
		})
	}
	if err := e.Encode(header); err != nil {
		return fmt.Errorf("trace: write header: %w", err)
	}
	for _, r := range t.Requests {
		line := requestLine{
			At: r.Arrival.Microseconds(), Service: r.Service, Key: r.Key, Rank: r.Rank.String(),
			Size: r.Size, Target: r.Target.Milliseconds(),
		}
		if err := e.Encode(line); err != nil {
			return fmt.Errorf("trace: write request: %w", err)
		}
	}
	if err := b.Flush(); err != nil {
		return fmt.Errorf("trace: write: %w", err)
	}
	return nil
}

// Read reads a trace. It returns an error for an incomplete line, an unknown or missing
// field, and requests that are not in order of arrival.
func Read(r io.Reader) (*Trace, error) {
	d := json.NewDecoder(bufio.NewReader(r))
	d.DisallowUnknownFields()
	var header headerLine
	if err := d.Decode(&header); err != nil {
		return nil, fmt.Errorf("trace: line 1: %w", err)
	}
	t := &Trace{Deployment: header.Deployment, Day: header.Day, Seed: header.Seed}
	if err := t.setObjectives(header.ObjectiveLines); err != nil {
		return nil, fmt.Errorf("trace: line 1: %w", err)
	}
	for n := 2; ; n++ {
		var line requestLine
		err := d.Decode(&line)
		if errors.Is(err, io.EOF) {
			return t, nil
		}
		if err != nil {
			return nil, fmt.Errorf("trace: line %d: %w", n, err)
		}
		if err := t.addRequest(line); err != nil {
			return nil, fmt.Errorf("trace: line %d: %w", n, err)
		}
	}
}

func (t *Trace) setObjectives(lines []objectiveLine) error {
	if len(lines) != rank.Count {
		return fmt.Errorf("field expect has %d entries, must have one for each of %d ranks", len(lines), rank.Count)
	}
	for _, l := range lines {
		k, err := rank.Parse(l.Rank)
		if err != nil {
			return err
		}
		if l.Timeout <= 0 || l.Target <= 0 {
			return fmt.Errorf("rank %s: fields target and timeout must be positive", k)
		}
		t.Objectives[k] = Objective{
			Share: l.Share, Target: time.Duration(l.Target) * time.Millisecond,
			Timeout: time.Duration(l.Timeout) * time.Millisecond, Lossless: l.Lossless,
		}
	}
	for i, x := range t.Objectives {
		if x.Timeout == 0 {
			return fmt.Errorf("field expect has no entry for rank %s", rank.Rank(i))
		}
	}
	return nil
}

func (t *Trace) addRequest(line requestLine) error {
	k, err := rank.Parse(line.Rank)
	if err != nil {
		return err
	}
	at := time.Duration(line.At) * time.Microsecond
	if at < t.Duration() {
		return fmt.Errorf("field at is %d, must not be before that of the previous line", line.At)
	}
	if line.Service == "" || line.Key == "" || line.Size < 0 || line.Target <= 0 {
		return errors.New("fields service, key and target are required and size must not be negative")
	}
	t.Requests = append(t.Requests, Request{
		Arrival: at, Service: line.Service, Key: line.Key, Rank: k,
		Size: line.Size, Target: time.Duration(line.Target) * time.Millisecond,
	})
	return nil
}
