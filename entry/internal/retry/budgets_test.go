package retry_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bramleystand.org/entry/internal/retry"
)

// Guards against processes that together exceed a shared limit in some window. They don't
// communicate, and some of them restart and lose their budgets.
func TestSharedLimit(t *testing.T) {
	const share, burst, processes = 0.2, 58.0, 16
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		budgets := make([]*retry.Budgets, processes)
		for i := range budgets {
			budgets[i] = retry.New(retry.Shared(share, burst, processes))
		}
		type sample struct {
			at              time.Time
			requests, spent float64
		}
		var samples []sample
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "gap")) * time.Millisecond)
			i := rapid.IntRange(0, processes-1).Draw(t, "process")
			m := sample{at: now}
			switch rapid.IntRange(0, 20).Draw(t, "event") {
			case 0:
				budgets[i] = retry.New(retry.Shared(share, burst, processes))
			case 1, 2, 3:
				for budgets[i].Withdraw(now, "s") {
					m.spent++
				}
			default:
				for range rapid.IntRange(1, 30).Draw(t, "burst") {
					budgets[i].Deposit(now, "s")
					m.requests++
				}
			}
			samples = append(samples, m)
			requests, spent := 0.0, 0.0
			for _, s := range samples {
				if now.Sub(s.at) <= window {
					requests += s.requests
					spent += s.spent
				}
			}
			must.LessEq(t, share*requests+burst, spent)
		}
	})
}
