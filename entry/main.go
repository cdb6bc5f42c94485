// Command entry is the entry process, which runs on an entry VM: it accepts requests and
// passes each to the backend server that owns the request's key.
//
// # Usage
//
//	entry --settings entry.json           // on the product's own platform API
//	entry gateway --settings gateway.json // on the users' platform
package main

import (
	"os"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"bramleystand.org/common/logging"
)

// commandLine holds the commands of the program.
type commandLine struct {
	Serve   serveCommand   `cmd:"" default:"withargs" help:"Serve on the product's own platform API (default)."`
	Gateway gatewayCommand `cmd:"" help:"Serve on the users' platform."`
}

func main() {
	var a commandLine
	command := kong.Parse(&a, kong.Name("entry"), kong.Description("Entry process of bramleystand."))
	if err := command.Run(); err != nil {
		logging.New(os.Stderr, "entry", "").WithField("trace", eris.ToString(err, true)).WithError(err).Error("entry failed")
		os.Exit(1)
	}
}
