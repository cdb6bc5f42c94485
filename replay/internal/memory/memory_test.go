package memory

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a wrong unit and against a process without memory that counts as 0 bytes.
func TestParse(t *testing.T) {
	n, err := parse("Name:\tentry\nVmHWM:\t    9999 kB\nVmRSS:\t    2048 kB\n")
	must.NoError(t, err)
	must.Eq(t, 2<<20, n)
	_, err = parse("Name:\tentry\nState:\tZ (zombie)\n")
	must.Error(t, err)
	_, err = parse("VmRSS:\t 2 MB\n")
	must.Error(t, err)
}
