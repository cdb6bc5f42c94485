// Package logline reads the JSON log lines of entry processes on several VMs and sorts them by
// time, corrected for the differences between the VMs' clocks.
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

// maxLineBytes limits the length of a line; processes write lines of a few KB at most.
const maxLineBytes = 1 << 20

// Line is one parsed line of a process's log.
type Line struct {
	// At is the timestamp by the clock of the VM that wrote the line, and Process the name of
	// the process that wrote it.
	At      time.Time
	Process string
	Message string
	fields  map[string]any
	// ClockAhead is how far the VM's clock was ahead of the reference clock that Order chooses,
	// or 0 if that is not known.
	ClockAhead time.Duration
}

// lineJSON is the JSON form of a line.
type lineJSON struct {
	Fields    map[string]any `json:"fields"`
	Timestamp time.Time      `json:"timestamp"`
	Message   string         `json:"message"`
}

// Read reads log lines. Text before the first brace of a line, such as the prefix that a system
// journal adds, is ignored. Lines that are not valid log lines are left out and counted in
// skipped; empty lines are not counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for s.Scan() {
		if len(bytes.TrimSpace(s.Bytes())) == 0 {
			continue
		}
		l, ok := parseLine(s.Bytes())
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

// parseLine parses a line and returns false if it has no JSON object with a timestamp.
func parseLine(data []byte) (Line, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, false
	}
	var decoded lineJSON
	if err := json.Unmarshal(data[start:], &decoded); err != nil || decoded.Timestamp.IsZero() {
		return Line{}, false
	}
	l := Line{At: decoded.Timestamp, Message: decoded.Message, fields: decoded.Fields}
	l.Process = l.Text("name")
	return l, true
}

// CommonTime returns the time of the line on the reference clock.
func (l Line) CommonTime() time.Time { return l.At.Add(-l.ClockAhead) }

// Text returns the value of a string field, or "" if the field is missing or not a string.
func (l Line) Text(field string) string {
	s, _ := l.fields[field].(string)
	return s
}

// Number returns the value of a numeric field, or false if the field is missing or not a number.
func (l Line) Number(field string) (int64, bool) {
	n, ok := l.fields[field].(float64)
	return int64(n), ok
}

// Fields returns all fields of the line; the map is not a copy.
func (l Line) Fields() map[string]any { return l.fields }
