// Command replay loads a fleet of bramleystand with recorded or generated traffic,
// verifies what was executed, and measures service under failure.
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
	ctx := kong.Parse(&c, kong.Name("replay"), kong.Description("Load, verification and experiments for bramleystand."))
	ctx.FatalIfErrorf(ctx.Run())
}
