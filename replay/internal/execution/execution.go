// Package execution reads the execution logs of simulated backend servers, which
// show what a server has actually run.
//
// # Usage
//
//	c := execution.NewCollector(http.DefaultClient, servers)
//	if err := c.Collect(ctx); err != nil {
//		// A server did not answer. The records that it sent earlier are kept.
//	}
//	oracle.New(attempts, c.Executions(), c.Incomplete())
package execution

import (
	"strconv"
	"strings"
	"time"
)

// Execution is one request that started on a backend server.
type Execution struct {
	Server string
	// Incarnation distinguishes processes of the same server.
	Incarnation int64
	// SequenceNumber is the sequence number in the log of the process.
	SequenceNumber uint64
	Key            string
	Shard          uint32
	Rank           string
	Operation      string
	// Attempt is the number of the attempt that the server ran, or 0 if the request did
	// not contain it.
	Attempt int
	Fence   uint64
	// Started and Ended are readings of a clock that all servers on a machine share.
	Started time.Duration
	Ended   time.Duration
	// Ran reports whether the execution took effect.
	Ran bool
}

// Label returns the header value that identifies an attempt at an operation.
func Label(operation string, attempt int) string {
	return operation + "/" + strconv.Itoa(attempt)
}

// ParseLabel splits a label into the operation and the attempt number, which is 0 if
// the label has none.
func ParseLabel(label string) (operation string, attempt int) {
	i := strings.LastIndexByte(label, '/')
	if i < 0 {
		return label, 0
	}
	n, err := strconv.Atoi(label[i+1:])
	if err != nil {
		return label, 0
	}
	return label[:i], n
}
