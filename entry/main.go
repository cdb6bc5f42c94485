// Command entry is the process of an entry VM: it takes requests from callers and
// brings each to the backend server that owns its key.
//
// # Usage
//
//	entry --settings entry.json
package main

import (
	"context"
	"expvar"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/rotisserie/eris"

	"bramleystand.org/common/logging"
	"bramleystand.org/common/platform"
	"bramleystand.org/entry/internal/kratoslog"
	"bramleystand.org/entry/internal/process"
	"bramleystand.org/entry/internal/settings"
)

// arguments is the command line.
type arguments struct {
	Settings string `help:"Settings file in JSON." required:"" type:"existingfile"`
}

func main() {
	var a arguments
	kong.Parse(&a, kong.Name("entry"), kong.Description("Entry process of bramleystand."))
	if err := run(a); err != nil {
		logging.New(os.Stderr, "entry", "").WithField("trace", eris.ToString(err, true)).WithError(err).Error("entry failed")
		os.Exit(1)
	}
}

// httpClient returns a client that calls from the address of the process.
func httpClient(s settings.Settings) *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = process.NewDialer(s.Peer.Addr()).DialContext
	// A proxy of the environment must not come between the process and the platform.
	t.Proxy = nil
	return &http.Client{Transport: t}
}

func run(a arguments) error {
	data, err := os.ReadFile(a.Settings)
	if err != nil {
		return eris.Wrap(err, "entry: read settings")
	}
	s, err := settings.Parse(data)
	if err != nil {
		return eris.Wrapf(err, "entry: settings %s", a.Settings)
	}
	logger := logging.New(os.Stderr, "entry", s.Name)
	klog.SetLogger(kratoslog.New(logger))
	objects := process.NewObjects(platform.New(s.Platform, httpClient(s)), s.Name)
	p, err := process.New(s, time.Now(), objects, expvar.NewMap("bramleystand"), logger)
	if err != nil {
		return eris.Wrap(err, "entry: start")
	}
	if err := p.Run(context.Background()); err != nil {
		return eris.Wrap(err, "entry: run")
	}
	return nil
}
