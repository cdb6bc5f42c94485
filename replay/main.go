// Command replay sends recorded or generated traffic to a bramleystand fleet, checks the
// responses against what the backend servers executed, and measures the effect of failures.
//
// # Usage
//
//	replay demo
//	replay generate --deployment kerala --day week -o week.jsonl
//	replay run --trace week.jsonl --entry 127.0.0.1:8080 --report report.json
package main

import (
	"github.com/alecthomas/kong"

	"bramleystand.org/replay/internal/command"
)

func main() {
	var c command.Command
	ctx := kong.Parse(&c, kong.Name("replay"), kong.Description("Load tests, verification and failure tests for bramleystand."))
	ctx.FatalIfErrorf(ctx.Run())
}
