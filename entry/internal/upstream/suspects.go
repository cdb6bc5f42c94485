package upstream

import (
	"time"

	"bramleystand.org/entry/internal/suspect"
)

// CrashSuspects tracks requests that may crash the servers that run them. Package suspect implements it.
type CrashSuspects interface {
	Check(now time.Time, f suspect.Fingerprint) suspect.Verdict
	Crash(now time.Time, inFlight []suspect.Fingerprint) []suspect.Verdict
	Success(now time.Time, f suspect.Fingerprint)
}
