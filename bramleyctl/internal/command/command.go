// Package command implements the commands of bramleyctl.
//
// Most commands print a table, or JSON with --json. The exit code tells scripts what
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

	"bramleystand.org/bramleyctl/internal/objectstore"
	"bramleystand.org/common/platform"
	"bramleystand.org/common/settings"
)

// Exit codes of the program. ExitInvalid stands for wrong usage or input, ExitLostRace for an
// object that somebody else has changed, ExitUnavailable for a platform that can't be reached,
// and ExitUnknown for a change that may have been made.
const (
	ExitDone        = 0
	ExitError       = 1
	ExitInvalid     = 2
	ExitLostRace    = 3
	ExitUnavailable = 4
	ExitUnknown     = 5
)

// errInvalid marks errors in the operator's arguments and files.
var errInvalid = errors.New("invalid input")

// Connect returns the object API of the platform at an address.
type Connect func(platform netip.AddrPort) objectstore.ObjectClient

// commandLine holds the global flags and all commands.
type commandLine struct {
	Platform netip.AddrPort   `help:"Address of the platform." env:"BRAMLEY_PLATFORM"`
	Entry    []netip.AddrPort `help:"Admin addresses of entry processes." env:"BRAMLEY_ENTRY"`
	JSON     bool             `name:"json" help:"Print JSON."`
	Author   string           `help:"Name of the author of a change." env:"BRAMLEY_AUTHOR,USER"`
	Timeout  time.Duration    `help:"Time limit for the whole command." default:"10s"`

	Service  serviceCommands  `cmd:"" help:"Show and change services."`
	Upstream upstreamCommands `cmd:"" help:"Show and change the upstreams of a service."`
	Preset   presetCommands   `cmd:"" help:"Show, change and switch presets."`
	Leave    leaveCommand     `cmd:"" help:"Mark a VM as leaving."`
	Unleave  unleaveCommand   `cmd:"" help:"Remove the leaving mark of a VM."`
	Leaving  leavingCommand   `cmd:"" help:"List the VMs that are marked as leaving."`
	Status   statusCommand    `cmd:"" help:"Show members, controllers and versions in force."`
	Owner    ownerCommand     `cmd:"" help:"Show which server owns a key, and why."`
	Where    whereCommand     `cmd:"" help:"Explain where a request on the users' platform would go now, without sending it."`
	Explain  explainCommand   `cmd:"" help:"Find out from the logs of entry processes why a request ended as it did."`
	Dump     dumpCommand      `cmd:"" help:"Print the state of a process."`
	Check    checkCommand     `cmd:"" help:"Validate a file without applying it."`
}

// Run parses the arguments, executes the command and returns the exit code.
func Run(args []string, stdout, stderr io.Writer, connect Connect) int {
	var cli commandLine
	parser, err := kong.New(&cli,
		kong.Name("bramleyctl"), kong.Description("Controls bramleystand. Exit codes: 0 done, 1 error, 2 usage or invalid input, "+
			"3 lost a race, 4 platform unavailable, 5 outcome unknown."),
		kong.Writers(stdout, stderr), kong.Exit(os.Exit))
	if err != nil {
		return reportError(stderr, err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return reportError(stderr, fmt.Errorf("%w: %w", errInvalid, err))
	}
	ctx, cancel := context.WithTimeout(context.Background(), cli.Timeout)
	defer cancel()
	return reportError(stderr, parsed.Run(&session{commandLine: &cli, ctx: ctx, out: stdout, connect: connect}))
}

// reportError prints the error, if there is one, and returns its exit code.
func reportError(stderr io.Writer, err error) int {
	if err == nil {
		return ExitDone
	}
	_, _ = fmt.Fprintf(stderr, "bramleyctl: %v\n", err)
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	var rejected *settings.Error
	switch {
	case objectstore.IsOutcomeUnknown(err):
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
