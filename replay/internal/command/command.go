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
	Run      Run      `cmd:"" help:"Replay a trace against entry VMs."`
	Verify   Verify   `cmd:"" help:"Compare operation logs with what backend servers ran."`
	Demo     Demo     `cmd:"" help:"Run the whole path with stand-ins and print the service per rank."`
	Faults   Faults   `cmd:"" help:"Run real processes under failure and check the stated bounds."`
	Latency  Latency  `cmd:"" help:"Measure the latency and memory of the path through the entry VMs."`
	Capacity Capacity `cmd:"" help:"Measure what entry processes use of processor, network, memory and platform."`
}
