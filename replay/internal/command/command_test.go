package command_test

import (
	"testing"

	"github.com/alecthomas/kong"
	"github.com/shoenig/test/must"

	"bramleystand.org/replay/internal/command"
)

// Guards against a command line that refuses flags named in the documentation.
func TestFlags(t *testing.T) {
	for _, args := range [][]string{
		{"generate", "--deployment", "kerala", "--day", "upload-flood", "--seconds", "1", "--rate", "5", "--seed", "2"},
		{"run", "--trace", "command_test.go", "--entry", "127.0.0.1:1,127.0.0.1:2", "--report", "r.json"},
		{"verify", "--log", "command_test.go", "--backend", "127.0.0.1:1,127.0.0.1:2"},
		{"demo", "--deployment", "both", "--rate", "10", "--seconds", "1", "--keep"},
		{"faults", "--case", "all", "--platform", "down"},
		{"latency", "--seconds", "1"},
	} {
		var c command.Command
		parser, err := kong.New(&c)
		must.NoError(t, err)
		_, err = parser.Parse(args)
		must.NoError(t, err, must.Sprint(args))
	}
}
