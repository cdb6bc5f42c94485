package upstream

import (
	"time"

	"bramleystand.org/entry/internal/suspect"
)

// CrashSuspects tracks requests that may crash the servers that run them. Package suspect implements it.
type CrashSuspects interface {
	VerdictOf(now time.Time, f suspect.Fingerprint) suspect.Verdict
	ReportCrash(now time.Time, inFlight []suspect.Fingerprint) []suspect.Verdict
	ReportSuccess(now time.Time, f suspect.Fingerprint)
}
