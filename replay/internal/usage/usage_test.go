package usage

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against reading the wrong fields, especially if the name of the process
// contains spaces or parentheses.
func TestParse(t *testing.T) {
	for _, name := range []string{"entry", "a b) c"} {
		got, err := parseCPU("7 (" + name + ") S 1 7 7 0 -1 4194304 1 0 0 0 250 50 0 0 20 0 1 0")
		must.NoError(t, err)
		must.Eq(t, 3*time.Second, got)
	}
	_, err := parseCPU("7 (entry) S 1")
	must.Error(t, err)
	var u Usage
	must.NoError(t, u.parseIO("rchar: 10\nwchar: 20\nsyscr: 3\nsyscw: 4\nread_bytes: 0\n"))
	must.Eq(t, Usage{Read: 10, Written: 20, IOCalls: 7}, u)
	must.Eq(t, Usage{Read: 4, Written: 20, IOCalls: 7}, u.Since(Usage{Read: 6}))
}
