package upstream

import (
	"time"

	"bramleystand.org/entry/internal/suspect"
)

// Suspects knows requests that may break the servers that run them.
type Suspects interface {
	Check(now time.Time, f suspect.Fingerprint) suspect.Verdict
	Crash(now time.Time, inFlight []suspect.Fingerprint) []suspect.Verdict
	Success(now time.Time, f suspect.Fingerprint)
}
