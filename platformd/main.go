// Command platformd simulates the platform's object API and list of VMs, with faults on request.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"bramleystand.org/common/logging"
	"bramleystand.org/platformd/internal/process"
	"bramleystand.org/platformd/internal/settings"
)

func main() {
	var s settings.Settings
	kong.Parse(&s, kong.Description("Simulates the platform's object API and list of VMs."))
	logger := logging.New(os.Stdout, "platformd", "platform")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := process.Run(ctx, s, logger); err != nil {
		logger.WithField("error", eris.ToString(eris.Wrap(err, "platformd"), true)).Error("failed")
		os.Exit(1)
	}
}
