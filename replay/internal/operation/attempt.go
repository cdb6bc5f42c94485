package operation

import (
	"time"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
)

// Attempt is one request sent for an operation and what came of it.
type Attempt struct {
	Operation string
	// Number counts the attempts at the operation from 1.
	Number   int
	Service  string
	Key      string
	Rank     rank.Rank
	Ticket   string
	Digest   string
	Entry    string
	Sent     time.Time
	Answered time.Time
	// Told is false if no answer arrived; the outcome is then Unknown.
	Told    bool
	Outcome outcome.Outcome
	Status  int
	// Server and Execution name the execution that the answer is from.
	Server      string
	Incarnation int64
	Execution   uint64
	// Fault says in which way a whole answer was wrong: another key, another body or another operation.
	Fault string
	// Problem is the transport error of an attempt without answer.
	Problem string
}
