package memory

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a wrong unit, and against counting 0 bytes for an ended process, whose
// status has no VmRSS.
func TestParseResident(t *testing.T) {
	n, err := parseResident("Name:\tentry\nVmHWM:\t    9999 kB\nVmRSS:\t    2048 kB\n")
	must.NoError(t, err)
	must.Eq(t, 2<<20, n)
	_, err = parseResident("Name:\tentry\nState:\tZ (zombie)\n")
	must.Error(t, err)
	_, err = parseResident("VmRSS:\t 2 MB\n")
	must.Error(t, err)
}
