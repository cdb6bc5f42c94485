package suspect

import "fmt"

// Verdict tells whether and how a request may run. A greater value is more severe.
type Verdict uint8

// The verdicts.
const (
	// Unrestricted allows the request to run beside others.
	Unrestricted Verdict = iota
	// MustRunAlone allows the request to run only while no other request is in flight at its server.
	MustRunAlone
	// Condemned means that the request is refused, because it has crashed servers.
	Condemned
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	switch v {
	case Unrestricted:
		return "clear"
	case MustRunAlone:
		return "alone"
	case Condemned:
		return "condemned"
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}
