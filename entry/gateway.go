package main

import (
	"context"
	"expvar"
	"os"
	"runtime/debug"
	"time"

	"github.com/apex/log"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/rotisserie/eris"

	"bramleystand.org/common/boundedlog"
	"bramleystand.org/common/gatewaysettings"
	"bramleystand.org/entry/internal/gatewayprocess"
	"bramleystand.org/entry/internal/kratoslog"
)

const (
	// memoryShare is the part of the process's memory at which the garbage collector works harder.
	memoryShare = 0.6
	// collectPercent keeps the peak of the memory, which has a price, at half more than what is live.
	collectPercent = 50
	// closeTime is how long the end of the process waits for the reader of its log.
	closeTime = 500 * time.Millisecond
)

// gatewayCommand runs the process on the users' platform.
type gatewayCommand struct {
	Settings string `help:"Settings file in JSON." required:"" type:"existingfile"`
}

// Run starts the process and waits for its end.
func (c *gatewayCommand) Run() error {
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return eris.Wrap(err, "entry: read settings")
	}
	s, err := gatewaysettings.Parse(data)
	if err != nil {
		return eris.Wrapf(err, "entry: settings %s", c.Settings)
	}
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(float64(s.Memory) * memoryShare))
	lines := boundedlog.New(os.Stdout, s.Logs, log.Fields{"program": "entry", "name": s.Name})
	// There is no log any more to write an error to.
	defer func() { _ = lines.Close(time.Now().Add(closeTime)) }()
	logger := &log.Logger{Handler: lines, Level: log.DebugLevel}
	klog.SetLogger(kratoslog.New(logger))
	metrics := expvar.NewMap("bramleystand")
	metrics.Set("log", expvar.Func(func() any { return lines.Counts() }))
	p, err := gatewayprocess.New(s, c.Settings, time.Now(), metrics, logger)
	if err != nil {
		return eris.Wrap(err, "entry: start")
	}
	if err := p.Run(context.Background()); err != nil {
		return eris.Wrap(err, "entry: run")
	}
	return nil
}
