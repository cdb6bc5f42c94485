// Package fleet runs a whole installation as child processes on loopback: the
// stand-in of the platform, data centres with entry VMs, and backend servers.
//
// # Usage
//
//	f, err := fleet.Start(ctx, options)
//	if err != nil {
//		return err
//	}
//	defer f.Kill()
//	err = f.Ready(ctx)
//	err = f.Stop(ctx)
package fleet

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/replay/internal/address"
	"bramleystand.org/replay/internal/process"
	"bramleystand.org/replay/internal/relay"
)

// requestTimeout bounds each request to a process of the fleet.
const requestTimeout = 5 * time.Second

// Fleet is a running installation.
type Fleet struct {
	Platform *process.Process
	// Address is the address of the platform.
	Address netip.AddrPort
	Entries []*Entry
	Servers []*Server
	// Relay interrupts connections; it is nil unless the fleet is relayed.
	Relay *relay.Relay

	// platform is the address at which entry VMs reach the platform.
	platform netip.AddrPort
	options  Options
	client   *http.Client
	mu       sync.Mutex
	files    []*os.File
	// ended holds processes that were ended on purpose and whose exit code says nothing.
	ended map[*process.Process]bool
}

// Start starts all processes and stores services and presets; it leaves none running if it fails.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f, err := Plan(o)
	if err != nil {
		return nil, err
	}
	if err := f.start(ctx); err != nil {
		f.Kill()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return f, nil
}

// Plan names all processes and gives them addresses, but starts none.
func Plan(o Options) (*Fleet, error) {
	f := &Fleet{options: o, client: &http.Client{Timeout: requestTimeout}, ended: map[*process.Process]bool{}}
	if err := f.plan(); err != nil {
		return nil, fmt.Errorf("fleet: plan: %w", err)
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	var err error
	if f.Platform, err = f.run("platform", "platformd", "--listen", f.Address.String()); err != nil {
		return err
	}
	if err := f.await(ctx, f.Platform, "http://"+f.Address.String()+"/objects?prefix="); err != nil {
		return err
	}
	for _, s := range f.Servers {
		if err := f.StartServer(s); err != nil {
			return err
		}
	}
	if err := f.list(ctx); err != nil {
		return err
	}
	if err := f.configure(ctx); err != nil {
		return err
	}
	if f.options.Relayed {
		if err := f.relay(); err != nil {
			return err
		}
	}
	for _, e := range f.Entries {
		if err := f.StartEntry(e); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) plan() error {
	o := f.options
	if o.Centres > len(o.Deployment.DataCentres) {
		return eris.Errorf("%d data centres, deployment %s has %d", o.Centres, o.Deployment.Name, len(o.Deployment.DataCentres))
	}
	free, err := address.Free(1 + o.Centres*(3*o.Entries+2*o.Servers))
	if err != nil {
		return err
	}
	next := func() (a netip.AddrPort) {
		a, free = free[0], free[1:]
		return a
	}
	f.Address = next()
	f.platform = f.Address
	for c, dc := range o.Deployment.DataCentres[:o.Centres] {
		for i := range o.Entries {
			e := &Entry{Name: fmt.Sprintf("%s-entry-%d", dc, i+1), DataCentre: dc, Caller: next(), Peer: next(), Admin: next()}
			if o.Relayed {
				e.Peer = netip.AddrPortFrom(ownAddress(c, i), e.Peer.Port())
			}
			e.Announce = e.Peer
			f.Entries = append(f.Entries, e)
		}
		for i := range o.Servers {
			// A quarter of the servers takes the uploads.
			service := o.Deployment.Services[0]
			if i >= o.Servers-o.Servers/4 {
				service = o.Deployment.Services[1]
			}
			f.Servers = append(f.Servers, &Server{
				Name: fmt.Sprintf("%s-%s-%d", dc, service.Prefix, i+1), Service: service.Name, DataCentre: dc,
				Slots: service.Slots, Connections: service.Connections, Address: next(), Admin: next(),
			})
		}
	}
	return nil
}

// run starts a program with its output in a file of its own.
func (f *Fleet) run(name, program string, args ...string) (*process.Process, error) {
	path := filepath.Join(f.options.Directory, name+".log")
	output, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("create output of %s: %w", name, err)
	}
	f.files = append(f.files, output)
	return process.Start(name, filepath.Join(f.options.Programs, program), args, output)
}

// Callers returns the addresses of all entry VMs for callers.
func (f *Fleet) Callers() []netip.AddrPort {
	var list []netip.AddrPort
	for _, e := range f.Entries {
		list = append(list, e.Caller)
	}
	return list
}

// Admins returns the control addresses of all backend servers.
func (f *Fleet) Admins() []netip.AddrPort {
	var list []netip.AddrPort
	for _, s := range f.Servers {
		list = append(list, s.Admin)
	}
	return list
}

// Server returns the backend server with the given name, or nil.
func (f *Fleet) Server(name string) *Server {
	for _, s := range f.Servers {
		if s.Name == name {
			return s
		}
	}
	return nil
}
