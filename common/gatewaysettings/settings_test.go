package gatewaysettings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/gatewaysettings"
)

const validSettings = `{"name":"edge-1","centre":"x","client":"10.1.0.1:80","ready":"10.1.0.1:81","peer":"10.1.0.1:82","admin":"10.1.0.1:83",
"store":"10.200.1.7:8169","seeds":["10.2.0.1:82"],"stop":"6s","retries":{"share":0.2,"slack":58,"processes":16},"cores":{"share":0.25,"speed":2},"memory":284,
"logs":{"lines":200,"bytes":65536}}`

// Guards against settings that are read into the wrong field or unit.
func TestParse(t *testing.T) {
	s, err := gatewaysettings.Parse([]byte(validSettings))
	must.NoError(t, err)
	must.Eq(t, "edge-1", s.Name)
	must.Eq(t, 6*time.Second, s.Stop)
	must.Eq(t, 284<<20, s.MemoryLimit)
	must.Eq(t, 0.5, s.Cores)
	must.Eq(t, gatewaysettings.RetryBudget{Share: 0.2, Burst: 58, Processes: 16}, s.RetryBudget)
}

// Guards against a process that starts partially with an invalid file, against errors that do not
// name the field, and against listing every field as missing if the file is not an object.
func TestParseErrors(t *testing.T) {
	for change, want := range map[[2]string]string{
		{`"10.1.0.1:81"`, `"10.1.0.1:80"`}:  "ready: 10.1.0.1:80 is not allowed, allowed: an address other than that of client",
		{`"6s"`, `"1ms"`}:                   "stop: 1ms is not allowed",
		{`"6s"`, `"6s","evacuate":"1ms"`}:   "evacuate: 1ms is not allowed, allowed: 500ms to 10m0s",
		{`"share":0.2`, `"share":-1`}:       "retries.share: -1 is not allowed, allowed: 0 to 1",
		{`"processes":16`, `"processes":0`}: "retries.processes: 0 is not allowed",
		{`"lines":200`, `"lines":1`}:        "logs.lines: 1 is not allowed, allowed: 10 to 100000",
		{`65536`, `-1`}:                     "logs.bytes: -1 is not allowed",
		{`"share":0.25`, `"share":0`}:       "cores: 0 is not allowed",
		{`284`, `3`}:                        "memory: 3145728 is not allowed",
		{`"edge-1"`, `""`}:                  `name: "" is not allowed`,
		{`"memory"`, `"memories"`}:          "memories: an unknown field is not allowed",
		{`10.200.1.7:8169`, `store`}:        `store: "store" is not allowed`,
	} {
		text := strings.Replace(validSettings, change[0], change[1], 1)
		_, err := gatewaysettings.Parse([]byte(text))
		must.ErrorContains(t, err, want)
	}
	for _, text := range []string{`null`, `[]`, ``, `"x"`} {
		_, err := gatewaysettings.Parse([]byte(text))
		must.Error(t, err)
		must.StrNotContains(t, err.Error(), "missing")
	}
}
