package bounds_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/bounds"
)

const mega = 1 << 20

// Guards against bounds whose sum exceeds the VM, and against a legal body for which the VM has room but its bounds
// have not.
func TestBounds(t *testing.T) {
	for _, memory := range []int64{64, 144, 184, 284, 536} {
		b, err := bounds.New(memory*mega, 3075)
		must.NoError(t, err)
		const largest = 64 * mega
		if memory >= 144 {
			must.GreaterEq(t, largest+4*mega, b.Bodies(largest))
		}
		sum := b.Bodies(1<<40) + b.Responses() + b.Heads() + b.Relayed() + b.Ahead() + int64(b.Clients())*20<<10
		must.LessEq(t, (memory-20)*mega, sum)
		must.LessEq(t, 3075, b.Clients()+2*b.Checks()+b.Peers())
	}
	_, err := bounds.New(40*mega, 3075)
	must.ErrorContains(t, err, "memory is 40 MB, the bounds of the process take 44 MB")
	_, err = bounds.New(284*mega, 100)
	must.ErrorContains(t, err, "100 file descriptors are allowed, the process needs at least 128")
}
