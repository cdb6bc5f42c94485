// Package command defines the subcommands of replay and their flags.
//
// # Usage
//
//	var c command.Command
//	ctx := kong.Parse(&c)
//	ctx.FatalIfErrorf(ctx.Run())
package command

// Command is the command line of replay.
type Command struct {
	Generate Generate `cmd:"" help:"Write a trace of a deployment's load."`
}
