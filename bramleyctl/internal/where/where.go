// Package where asks an entry process where a request would go now, and why.
//
// The question is answered from what the process knows; nothing is sent to a server and nothing changes.
//
// # Usage
//
//	answer, body, err := where.Ask(ctx, address, url.Values{"host": {"h.example"}, "path": {"/a/b"}})
package where

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
)

// maxAnswerBytes limits how much of an answer is read.
const maxAnswerBytes = 16 << 20

// Answer is where a request would go now.
type Answer struct {
	Process       string    `json:"process"`
	Centre        string    `json:"centre"`
	Configuration uint64    `json:"configuration"`
	Route         string    `json:"route"`
	Rank          int       `json:"rank"`
	Repeatable    bool      `json:"repeatable"`
	Objective     int64     `json:"objective"`
	Left          int64     `json:"left"`
	Services      []Service `json:"services"`
}

// Service is where a request would go if it went to one of the services of its route.
type Service struct {
	Name    string  `json:"service"`
	Weight  float64 `json:"weight"`
	Sharded bool    `json:"sharded"`
	Servers int     `json:"servers"`
	// Text is the answer in words.
	Text string `json:"answer"`
	// Owner is the server that holds the key, or nil. Table is the version of the ownership table that says so.
	Owner *Owner `json:"owner"`
	Table string `json:"table"`
	// Obstacles has, by server, why requests must not go there.
	Obstacles map[string]string `json:"obstacles"`
	Evacuated []string          `json:"evacuated"`
	Pools     []Pool            `json:"pools"`
}

// Owner is the server that holds a key.
type Owner struct {
	Server string `json:"server"`
	Centre string `json:"centre"`
	Cold   bool   `json:"cold"`
}

// Pool is a group of servers whose requests one process places. Times are in milliseconds.
type Pool struct {
	Centre    string `json:"centre"`
	Index     int    `json:"index"`
	Allocator string `json:"allocator"`
	Servers   int    `json:"servers"`
	Wait      int64  `json:"wait"`
	Took      int64  `json:"took"`
	// Age is the time since the allocator said so; nil if it has not been asked.
	Age      *int64   `json:"age"`
	Selected bool     `json:"selected"`
	Best     []Server `json:"best"`
}

// Server is a server as the process that places requests sees it. Times are in milliseconds.
type Server struct {
	Server   string  `json:"server"`
	Expected int64   `json:"expected"`
	Left     int64   `json:"left"`
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Speed    float64 `json:"speed"`
	Slowdown float64 `json:"slowdown"`
}

// RejectedError means that the process could not answer the question as it was asked.
type RejectedError struct {
	Status int
	Text   string
}

// Error implements error.
func (e *RejectedError) Error() string { return e.Text }

// Ask asks the process with the given admin address. It also returns the whole body of the answer.
func Ask(ctx context.Context, address netip.AddrPort, question url.Values) (Answer, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/where?"+question.Encode(), nil)
	if err != nil {
		return Answer{}, nil, fmt.Errorf("where: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Answer{}, nil, fmt.Errorf("where: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, nil, fmt.Errorf("where: read from %s: %w", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return Answer{}, nil, fmt.Errorf("where: %s: %w", address, &RejectedError{Status: response.StatusCode, Text: strings.TrimSpace(string(body))})
	}
	var a Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return Answer{}, nil, fmt.Errorf("where: %s sent an invalid answer: %w", address, err)
	}
	return a, body, nil
}
