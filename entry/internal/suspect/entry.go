package suspect

import "time"

// Entry is a verdict on a fingerprint in the form in which entry VMs exchange it.
type Entry struct {
	Fingerprint Fingerprint
	Verdict     Verdict
	// Version increases with each verdict on the fingerprint. Of two entries with equal versions the one with
	// the more severe verdict wins.
	Version uint32
	// Remaining is the time from sending the entry until the verdict expires.
	Remaining time.Duration
}
