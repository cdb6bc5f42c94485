package main

import (
	"context"
	"expvar"
	"net/http"
	"os"
	"time"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/rotisserie/eris"

	"bramleystand.org/common/logging"
	"bramleystand.org/common/platform"
	"bramleystand.org/entry/internal/dialer"
	"bramleystand.org/entry/internal/kratoslog"
	"bramleystand.org/entry/internal/process"
	"bramleystand.org/entry/internal/settings"
)

// serveCommand runs the entry process on the product's own platform API.
type serveCommand struct {
	Settings string `help:"Settings file in JSON." required:"" type:"existingfile"`
}

// httpClient returns an HTTP client whose connections come from the IP address on which the
// process listens for peers.
func httpClient(s settings.Settings) *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = dialer.New(s.PeerAddress.Addr()).DialContext
	// Proxy settings of the environment must not apply to calls to the platform.
	t.Proxy = nil
	return &http.Client{Transport: t}
}

// Run starts the process and waits for its end.
func (c *serveCommand) Run() error {
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return eris.Wrap(err, "entry: read settings")
	}
	s, err := settings.Parse(data)
	if err != nil {
		return eris.Wrapf(err, "entry: settings %s", c.Settings)
	}
	logger := logging.New(os.Stderr, "entry", s.Name)
	klog.SetLogger(kratoslog.New(logger))
	objects := process.NewPlatformClient(platform.New(s.Platform, httpClient(s)), s.Name)
	p, err := process.New(s, time.Now(), objects, expvar.NewMap("bramleystand"), logger)
	if err != nil {
		return eris.Wrap(err, "entry: start")
	}
	if err := p.Run(context.Background()); err != nil {
		return eris.Wrap(err, "entry: run")
	}
	return nil
}
