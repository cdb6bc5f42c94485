package ticket

import "fmt"

// Verdict says what to do with a spent ticket.
type Verdict uint8

// The verdicts. Unknown is the zero value.
const (
	// Unknown means that the action may have been run; it is not run again.
	Unknown Verdict = iota
	// Run means that the action was not run and now belongs to the caller of Spend, which must finish it.
	Run
	// Join means that the action is running; its answer follows.
	Join
	// Stored means that the action has run and its answer is there.
	Stored
	// Full means that the action was not run because the table has no room for its operation.
	Full
	// Absent means that the shard is not in this lease, so the table knows nothing about the ticket.
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
