// Package command is the operators' command line.
//
// Every command prints a table, or JSON with --json. The exit code tells scripts what
// happened; see the constants.
//
// # Usage
//
//	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr, connect))
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"bramleystand.org/bramleyctl/internal/store"
	"bramleystand.org/common/platform"
	"bramleystand.org/common/settings"
)

// The exit codes.
const (
	ExitDone        = 0
	ExitError       = 1
	ExitInvalid     = 2
	ExitLostRace    = 3
	ExitUnavailable = 4
	ExitUnknown     = 5
)

// errInvalid marks errors of what the operator has written.
var errInvalid = errors.New("invalid input")

// Connect returns the object API of the platform at an address.
type Connect func(platform netip.AddrPort) store.Objects

// line is the command line.
type line struct {
	Platform netip.AddrPort   `help:"Address of the platform." env:"BRAMLEY_PLATFORM"`
	Entry    []netip.AddrPort `help:"Admin addresses of entry processes." env:"BRAMLEY_ENTRY"`
	JSON     bool             `name:"json" help:"Print JSON."`
	Author   string           `help:"Who makes the change." env:"BRAMLEY_AUTHOR,USER"`
	Timeout  time.Duration    `help:"Longest time for the whole command." default:"10s"`

	Service  serviceCommands  `cmd:"" help:"Show and change services."`
	Upstream upstreamCommands `cmd:"" help:"Show and change the upstreams of a service."`
	Preset   presetCommands   `cmd:"" help:"Show, change and switch presets."`
	Leave    leaveCommand     `cmd:"" help:"Mark a VM as leaving."`
	Unleave  unleaveCommand   `cmd:"" help:"Remove the leaving mark of a VM."`
	Leaving  leavingCommand   `cmd:"" help:"List the VMs that are marked as leaving."`
	Status   statusCommand    `cmd:"" help:"Show members, controllers and versions in force."`
	Owner    ownerCommand     `cmd:"" help:"Show who serves a key, and why."`
	Explain  explainCommand   `cmd:"" help:"Find the cause of a request's end in the logs of entry processes."`
	Dump     dumpCommand      `cmd:"" help:"Print the state of a process."`
	Check    checkCommand     `cmd:"" help:"Check a file without using it."`
}

// Run executes one command and returns the exit code.
func Run(args []string, stdout, stderr io.Writer, connect Connect) int {
	var l line
	parser, err := kong.New(&l,
		kong.Name("bramleyctl"), kong.Description("Controls bramleystand. Exit codes: 0 done, 1 error, 2 usage or invalid input, "+
			"3 lost a race, 4 platform unavailable, 5 outcome unknown."),
		kong.Writers(stdout, stderr), kong.Exit(os.Exit))
	if err != nil {
		return report(stderr, err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return report(stderr, fmt.Errorf("%w: %w", errInvalid, err))
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.Timeout)
	defer cancel()
	return report(stderr, parsed.Run(&session{line: &l, ctx: ctx, out: stdout, connect: connect}))
}

// report prints the error and returns its exit code.
func report(stderr io.Writer, err error) int {
	if err == nil {
		return ExitDone
	}
	_, _ = fmt.Fprintf(stderr, "bramleyctl: %v\n", err)
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	var rejected *settings.Error
	switch {
	case store.IsUnknown(err):
		return ExitUnknown
	case errors.As(err, &conflict):
		return ExitLostRace
	case errors.As(err, &unavailable):
		return ExitUnavailable
	case errors.Is(err, errInvalid), errors.As(err, &rejected):
		return ExitInvalid
	}
	return ExitError
}
