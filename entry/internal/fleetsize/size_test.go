package fleetsize_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/fleetsize"
)

// Guards against a process that is cut off and takes a larger part of a limit that the processes it
// no longer sees still use. Also guards against a size that never decreases.
func TestSize(t *testing.T) {
	now := time.Unix(1000, 0)
	var s fleetsize.Size
	for _, c := range []struct {
		after   time.Duration
		members int
		want    int
	}{
		{0, 1, 1},
		{time.Second, 78, 78},
		{time.Second, 26, 78},
		{time.Second, 1, 78},
		{time.Minute, 26, 78},
		{time.Minute, 80, 80},
		{time.Minute, 60, 80},
		{5 * time.Minute, 50, 80},
		{6 * time.Minute, 40, 50},
	} {
		now = now.Add(c.after)
		must.Eq(t, c.want, s.Observe(now, c.members), must.Sprint(c))
	}
}
