package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/bramleyctl/internal/command"
)

const logLines = `{"fields":{"name":"e1","id":"x","reason":"no route","status":404},"level":"info","timestamp":"2026-12-04T08:00:00Z","message":"request refused"}
{"fields":{"name":"e1","service":"desk","first":0,"last":99,"server":"a","fence":"3.1","term":3},"level":"info","timestamp":"2026-12-04T08:00:00Z","message":"keys granted"}
`

// Guards against commands on log files that need the platform to be reachable, and against a
// command that finds no cause, or gets no log lines, without saying so.
func TestExplainCommand(t *testing.T) {
	file := filepath.Join(t.TempDir(), "e1.log")
	must.NoError(t, os.WriteFile(file, []byte(logLines), 0o600))
	empty := filepath.Join(t.TempDir(), "empty.log")
	must.NoError(t, os.WriteFile(empty, nil, 0o600))
	for _, c := range []struct {
		args []string
		code int
		text string
	}{
		{[]string{"explain", "x", "--logs", file}, command.ExitDone, "x: refused by e1 before it was given to a server: no route"},
		{[]string{"explain", "--sample", "3", "--logs", file}, command.ExitDone, "cause found for 1 of 1 failed requests"},
		{[]string{"explain", "y", "--logs", file, "--json"}, command.ExitDone, `"found": false`},
		{[]string{"explain", "--logs", file}, command.ExitInvalid, "allowed: one of them"},
		{[]string{"explain", "x", "--logs", empty}, command.ExitInvalid, "no log lines"},
		{[]string{"explain", "x", "--logs", "missing.log"}, command.ExitInvalid, "missing.log"},
		{[]string{"owner", "desk", "50", "--logs", file}, command.ExitDone, "desk     50   a      2026-12-04T08:00:00Z"},
		{[]string{"owner", "desk", "fifty", "--logs", file}, command.ExitInvalid, `"fifty" is not allowed`},
	} {
		var out bytes.Buffer
		must.Eq(t, c.code, command.Run(c.args, &out, &out, nil), must.Sprint(c.args, out.String()))
		must.StrContains(t, out.String(), c.text)
	}
}
