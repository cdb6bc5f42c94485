package recovery_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/outcome"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/recovery"
)

var start = time.Unix(100, 0)

func ranAttempt(key string, sent, answered time.Duration) operation.Attempt {
	return operation.Attempt{Key: key, Sent: start.Add(sent), AnsweredAt: start.Add(answered), Answered: true, Outcome: outcome.Ran}
}

// Guards against a recovery time that counts responses to requests sent before the
// window, refusals or other keys, or that is not that of the slowest key.
func TestTimeToRecover(t *testing.T) {
	refused := ranAttempt("a", 100*time.Millisecond, 200*time.Millisecond)
	refused.Outcome = outcome.NotRun
	w := recovery.Window{Keys: []string{"a", "b"}, From: start, To: start.Add(time.Minute), Attempts: []operation.Attempt{
		ranAttempt("a", -time.Second, time.Second), refused, ranAttempt("a", time.Second, 2*time.Second),
		ranAttempt("a", 3*time.Second, 4*time.Second), ranAttempt("b", 0, time.Second), ranAttempt("c", 0, 9*time.Second),
	}}
	longest, missing := w.TimeToRecover()
	must.Eq(t, 2*time.Second, longest)
	must.SliceEmpty(t, missing)
	w.Keys = append(w.Keys, "d")
	longest, missing = w.TimeToRecover()
	must.Eq(t, time.Minute, longest)
	must.Eq(t, []string{"d"}, missing)
}

// Guards against missing a gap at the start or the end of the window.
func TestLongestGap(t *testing.T) {
	w := recovery.Window{Keys: []string{"a"}, From: start, To: start.Add(10 * time.Second), Attempts: []operation.Attempt{
		ranAttempt("a", 0, 5*time.Second), ranAttempt("a", 0, 3*time.Second), ranAttempt("b", 0, 9*time.Second),
	}}
	must.Eq(t, 5*time.Second, w.LongestGap())
	w.To = start.Add(6 * time.Second)
	must.Eq(t, 3*time.Second, w.LongestGap())
}
