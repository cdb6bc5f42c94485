package upstream

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/rank"
)

// Guards against slow but healthy requests being given up as silent: an upload takes
// longer than the 300 ms after which a lookup is overdue.
func TestPatience(t *testing.T) {
	var p patience
	now := time.Unix(0, 0)
	deadline := now.Add(time.Minute)
	must.Eq(t, deadline, p.overdue(now, rank.Upload, deadline))
	for range patienceSamples {
		p.add(rank.Upload, 400*time.Millisecond)
		p.add(rank.Lookup, 5*time.Millisecond)
	}
	must.Eq(t, now.Add(8*time.Second), p.overdue(now, rank.Upload, deadline))
	must.Eq(t, now.Add(300*time.Millisecond), p.overdue(now, rank.Lookup, deadline))
}
