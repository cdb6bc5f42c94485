// Package logline reads the JSON lines that entry processes write, of several VMs, and puts
// them in the order in which they were written.
//
// # Usage
//
//	lines, skipped, err := logline.Read(file)
//	lines = logline.Order(lines)
package logline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// longestLine bounds a line in bytes; processes write lines of a few KB at most.
const longestLine = 1 << 20

// Line is one line of a log.
type Line struct {
	// At is the time by the clock of the VM that wrote the line, and Name the name of the process.
	At      time.Time
	Name    string
	Message string
	fields  map[string]any
	// Ahead is how much the VM's clock was ahead of the others' common one, if that is known.
	Ahead time.Duration
}

// wire is the form of a line.
type wire struct {
	Fields    map[string]any `json:"fields"`
	Timestamp time.Time      `json:"timestamp"`
	Message   string         `json:"message"`
}

// Read reads lines. Text before the first brace of a line, as journals write it, is passed over,
// and so are lines that are not of this form; skipped counts those.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), longestLine)
	for s.Scan() {
		if len(bytes.TrimSpace(s.Bytes())) == 0 {
			continue
		}
		l, ok := parse(s.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	if err := s.Err(); err != nil {
		return nil, 0, fmt.Errorf("logline: read: %w", err)
	}
	return lines, skipped, nil
}

func parse(data []byte) (Line, bool) {
	begin := bytes.IndexByte(data, '{')
	if begin < 0 {
		return Line{}, false
	}
	var w wire
	if err := json.Unmarshal(data[begin:], &w); err != nil || w.Timestamp.IsZero() {
		return Line{}, false
	}
	l := Line{At: w.Timestamp, Message: w.Message, fields: w.Fields}
	l.Name = l.Text("name")
	return l, true
}

// Time returns the time of the line on the common clock.
func (l Line) Time() time.Time { return l.At.Add(-l.Ahead) }

// Text returns a field that is a text, or "".
func (l Line) Text(field string) string {
	s, _ := l.fields[field].(string)
	return s
}

// Number returns a field that is a number, or false.
func (l Line) Number(field string) (int64, bool) {
	n, ok := l.fields[field].(float64)
	return int64(n), ok
}

// Fields returns all fields.
func (l Line) Fields() map[string]any { return l.fields }
