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
	// memoryLimitShare is the soft memory limit of the Go runtime as a share of the memory in
	// the settings. Near that limit the garbage collector runs more often.
	memoryLimitShare = 0.6
	// gcPercent starts a garbage collection when the heap has grown by half of what is live,
	// because peak memory use has a cost.
	gcPercent = 50
	// logCloseTimeout is how long the process waits at its end for the reader of its log.
	logCloseTimeout = 500 * time.Millisecond
)

// gatewayCommand runs the entry process on the users' platform.
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
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryLimit) * memoryLimitShare))
	logHandler := boundedlog.New(os.Stdout, s.LogLimit, log.Fields{"program": "entry", "name": s.Name})
	// The error is ignored because there is no log left to write it to.
	defer func() { _ = logHandler.Close(time.Now().Add(logCloseTimeout)) }()
	logger := &log.Logger{Handler: logHandler, Level: log.DebugLevel}
	klog.SetLogger(kratoslog.New(logger))
	metrics := expvar.NewMap("bramleystand")
	metrics.Set("log", expvar.Func(func() any { return logHandler.Counts() }))
	p, err := gatewayprocess.New(s, c.Settings, time.Now(), metrics, logger)
	if err != nil {
		return eris.Wrap(err, "entry: start")
	}
	if err := p.Run(context.Background()); err != nil {
		return eris.Wrap(err, "entry: run")
	}
	return nil
}
