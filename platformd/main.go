// Command platformd stands in for the platform: its object API and its list of VMs.
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
	kong.Parse(&s, kong.Description("Stands in for the platform."))
	logger := logging.New(os.Stdout, "platformd", "platform")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := process.Run(ctx, s, logger); err != nil {
		logger.WithField("error", eris.ToString(eris.Wrap(err, "platformd"), true)).Error("failed")
		os.Exit(1)
	}
}
