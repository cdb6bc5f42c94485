// Command backendd simulates a backend server that owns keys exclusively.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"bramleystand.org/backendd/internal/process"
	"bramleystand.org/backendd/internal/settings"
	"bramleystand.org/common/logging"
)

func main() {
	var s settings.Settings
	kong.Parse(&s, kong.Description("Simulates a backend server."))
	logger := logging.New(os.Stdout, "backendd", s.Name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := process.Run(ctx, s, logger, os.Exit); err != nil {
		logger.WithField("error", eris.ToString(eris.Wrap(err, "backendd"), true)).Error("failed")
		os.Exit(1)
	}
}
