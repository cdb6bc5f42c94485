// Package command defines the subcommands of replay and their flags, and runs them.
//
// # Usage
//
//	var c command.Command
//	ctx := kong.Parse(&c)
//	ctx.FatalIfErrorf(ctx.Run())
package command

// Command is the command line of replay.
type Command struct {
	Generate Generate `cmd:"" help:"Generate a trace of the load of a deployment."`
	Run      Run      `cmd:"" help:"Replay a trace against entry VMs."`
	Verify   Verify   `cmd:"" help:"Check operation logs against the execution logs of backend servers."`
	Demo     Demo     `cmd:"" help:"Run a complete installation with simulated platform and backend servers, and print the results per rank."`
	Faults   Faults   `cmd:"" help:"Inject failures and network partitions into real processes and check the guaranteed bounds."`
	Latency  Latency  `cmd:"" help:"Measure the latency that entry VMs add and their memory during an upload."`
	Capacity Capacity `cmd:"" help:"Measure the CPU, network, memory and platform usage of entry processes."`
}
