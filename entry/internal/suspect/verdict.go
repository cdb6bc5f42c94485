package suspect

import "fmt"

// Verdict says how a request may run. A greater value is more severe.
type Verdict uint8

// The verdicts.
const (
	// Clear allows the request to run beside others.
	Clear Verdict = iota
	// Alone allows the request to run with nothing else in flight on its server.
	Alone
	// Condemned forbids the request.
	Condemned
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	switch v {
	case Clear:
		return "clear"
	case Alone:
		return "alone"
	case Condemned:
		return "condemned"
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}
