package ticket

import "fmt"

// Verdict tells the caller of Redeem how to handle the request of a ticket.
type Verdict uint8

// The verdicts of Redeem. Unknown is the zero value.
const (
	// Unknown means that the action may have been run. It must not be run again.
	Unknown Verdict = iota
	// Run means that the action was not run. The caller of Redeem must run it and call Finish.
	Run
	// Join means that the action is running. The caller can wait for its response.
	Join
	// Stored means that the action has run and the operation has its response.
	Stored
	// Full means that the action was not run because the table has reached its limits.
	Full
	// Absent means that the shard is not part of this lease, so the table knows nothing about the ticket.
	Absent
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	names := [...]string{"unknown", "run", "join", "stored", "full", "absent"}
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}
