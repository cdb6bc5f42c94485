package operation

import (
	"time"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
)

// Attempt is one request sent for an operation, and its response or error.
type Attempt struct {
	Operation string
	// Number counts the attempts at an operation from 1.
	Number     int
	Service    string
	Key        string
	Rank       rank.Rank
	Ticket     string
	Digest     string
	Entry      string
	Sent       time.Time
	AnsweredAt time.Time
	// Answered is true if a response to the request arrived. Otherwise the outcome is Unknown,
	// or NotRun if no ticket was issued and the request was not sent.
	Answered bool
	Outcome  outcome.Outcome
	Status   int
	// Server, Incarnation and Execution identify the execution that the response is from.
	Server      string
	Incarnation int64
	Execution   uint64
	// AnswerError says how the response of a request that ran was wrong: it was incomplete or for
	// another key, body or operation.
	AnswerError string
	// FailureReason is the error of an attempt without a response, or the reason in the response to
	// a request that did not run or whose outcome is unknown.
	FailureReason string
}
