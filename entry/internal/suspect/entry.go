package suspect

import "time"

// Entry is a verdict as entry VMs pass it to each other.
type Entry struct {
	Fingerprint Fingerprint
	Verdict     Verdict
	// Version grows with each verdict on the fingerprint; of equal versions the more severe verdict counts.
	Version uint32
	// Remaining is the time until the verdict expires, counted from the sending.
	Remaining time.Duration
}
