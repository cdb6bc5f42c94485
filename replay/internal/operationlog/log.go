// Package operationlog writes and reads a log of the attempts of callers, as one
// JSON line for each attempt.
//
// # Usage
//
//	log := operationlog.New(file)
//	log.Add(attempt)
//	err := log.Close()
package operationlog

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
	"bramleystand.org/replay/internal/operation"
)

type attemptLine struct {
	Operation     string `json:"operation"`
	Attempt       int    `json:"attempt"`
	Service       string `json:"service"`
	Key           string `json:"key"`
	Rank          string `json:"rank"`
	Ticket        string `json:"ticket,omitempty"`
	Digest        string `json:"digest,omitempty"`
	Entry         string `json:"entry"`
	Sent          int64  `json:"sent"`
	AnsweredAt    int64  `json:"answered,omitempty"`
	Outcome       string `json:"outcome"`
	Status        int    `json:"status,omitempty"`
	Server        string `json:"server,omitempty"`
	Incarnation   int64  `json:"incarnation,omitempty"`
	Execution     uint64 `json:"execution,omitempty"`
	AnswerError   string `json:"fault,omitempty"`
	FailureReason string `json:"problem,omitempty"`
}

// Log writes attempts as JSON lines. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	buffer  *bufio.Writer
	encoder *json.Encoder
	err     error
}

// New returns a log that writes to w.
func New(w io.Writer) *Log {
	b := bufio.NewWriter(w)
	return &Log{buffer: b, encoder: json.NewEncoder(b)}
}

// Add writes one attempt, with times in microseconds since the Unix epoch. The first
// error is returned by Close.
func (l *Log) Add(a operation.Attempt) {
	line := attemptLine{
		Operation: a.Operation, Attempt: a.Number, Service: a.Service, Key: a.Key, Rank: a.Rank.String(),
		Ticket: a.Ticket, Digest: a.Digest, Entry: a.Entry, Sent: a.Sent.UnixMicro(), Outcome: a.Outcome.String(),
		Status: a.Status, Server: a.Server, Incarnation: a.Incarnation, Execution: a.Execution, AnswerError: a.AnswerError, FailureReason: a.FailureReason,
	}
	if a.Answered {
		line.AnsweredAt = a.AnsweredAt.UnixMicro()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.encoder.Encode(line); err != nil && l.err == nil {
		l.err = err
	}
}

// Close writes buffered lines and returns the first error of Add or its own. It
// doesn't close the underlying writer.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := errors.Join(l.err, l.buffer.Flush()); err != nil {
		return fmt.Errorf("operationlog: write: %w", err)
	}
	return nil
}

// Read reads all attempts of a log. It returns an error for a line that is incomplete
// or has an unknown field.
func Read(r io.Reader) ([]operation.Attempt, error) {
	d := json.NewDecoder(bufio.NewReader(r))
	d.DisallowUnknownFields()
	var attempts []operation.Attempt
	for n := 1; ; n++ {
		var line attemptLine
		err := d.Decode(&line)
		if errors.Is(err, io.EOF) {
			return attempts, nil
		}
		if err != nil {
			return nil, fmt.Errorf("operationlog: line %d: %w", n, err)
		}
		k, err := rank.Parse(line.Rank)
		if err != nil {
			return nil, fmt.Errorf("operationlog: line %d: %w", n, err)
		}
		a := operation.Attempt{
			Operation: line.Operation, Number: line.Attempt, Service: line.Service, Key: line.Key, Rank: k,
			Ticket: line.Ticket, Digest: line.Digest, Entry: line.Entry, Sent: time.UnixMicro(line.Sent),
			Answered: line.AnsweredAt != 0, Outcome: outcome.Parse(line.Outcome), Status: line.Status,
			Server: line.Server, Incarnation: line.Incarnation, Execution: line.Execution, AnswerError: line.AnswerError, FailureReason: line.FailureReason,
		}
		if a.Answered {
			a.AnsweredAt = time.UnixMicro(line.AnsweredAt)
		}
		attempts = append(attempts, a)
	}
}
