package cluster

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a small VM that takes the coordinator's role before a large one, and against equal
// VMs that all wait for a larger one that does not exist.
func TestTakeoverDelay(t *testing.T) {
	for _, c := range []struct {
		own, largest float64
		want         time.Duration
	}{
		{0.16, 0.8, maxTakeoverDelay},
		{0.8, 0.8, 0},
		{0.16, 0.16, 0},
		{0.3, 0.5, 0},
		{0.8, 0, 0},
		{0.25, 0, maxTakeoverDelay / 2},
	} {
		must.Eq(t, c.want, takeoverDelay(c.own, c.largest))
	}
	must.Greater(t, maxJitter, maxTakeoverDelay)
}
