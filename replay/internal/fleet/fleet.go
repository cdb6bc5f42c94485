// Package fleet runs a complete installation as child processes on the loopback interface:
// a simulated platform, the entry VMs of several data centres, and simulated backend servers.
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
	// Address is the address at which the platform listens.
	Address netip.AddrPort
	Entries []*Entry
	Servers []*Server
	// Relay can interrupt the connections of entry VMs. It is nil unless Options.Relayed is set.
	Relay *relay.Relay

	// entryPlatformAddress is the address at which entry VMs reach the platform: Address, or
	// the relay in front of it.
	entryPlatformAddress netip.AddrPort
	options              Options
	client               *http.Client
	mu                   sync.Mutex
	// files holds the output files of the processes.
	files []*os.File
	// endedOnPurpose holds processes that were ended on purpose, so that their exit code is ignored.
	endedOnPurpose map[*process.Process]bool
}

// Start starts all processes and stores services and presets on the platform. It leaves no
// process running if it fails.
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

// Plan assigns names and addresses to all processes without starting them.
func Plan(o Options) (*Fleet, error) {
	f := &Fleet{options: o, client: &http.Client{Timeout: requestTimeout}, endedOnPurpose: map[*process.Process]bool{}}
	if err := f.planProcesses(); err != nil {
		return nil, fmt.Errorf("fleet: plan: %w", err)
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	var err error
	if f.Platform, err = f.startProgram("platform", "platformd", "--listen", f.Address.String()); err != nil {
		return err
	}
	if err := f.awaitOK(ctx, f.Platform, "http://"+f.Address.String()+"/objects?prefix="); err != nil {
		return err
	}
	for _, s := range f.Servers {
		if err := f.StartServer(s); err != nil {
			return err
		}
	}
	if err := f.registerVMs(ctx); err != nil {
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

// planProcesses assigns names and free loopback addresses to the platform, the entry VMs
// and the servers.
func (f *Fleet) planProcesses() error {
	o := f.options
	if o.Centres > len(o.Deployment.DataCentres) {
		return eris.Errorf("%d data centres requested, deployment %s has %d", o.Centres, o.Deployment.Name, len(o.Deployment.DataCentres))
	}
	free, err := address.Free(1 + o.Centres*(3*o.Entries+2*o.Servers))
	if err != nil {
		return err
	}
	nextAddress := func() (a netip.AddrPort) {
		a, free = free[0], free[1:]
		return a
	}
	f.Address = nextAddress()
	f.entryPlatformAddress = f.Address
	for c, dc := range o.Deployment.DataCentres[:o.Centres] {
		for i := range o.Entries {
			e := &Entry{Name: fmt.Sprintf("%s-entry-%d", dc, i+1), DataCentre: dc, CallerAddress: nextAddress(), PeerAddress: nextAddress(), AdminAddress: nextAddress()}
			if o.Relayed {
				e.PeerAddress = netip.AddrPortFrom(entryLoopbackAddress(c, i), e.PeerAddress.Port())
			}
			e.AnnouncedAddress = e.PeerAddress
			f.Entries = append(f.Entries, e)
		}
		for i := range o.Servers {
			// A quarter of the servers belongs to the second service, which receives most uploads.
			service := o.Deployment.Services[0]
			if i >= o.Servers-o.Servers/4 {
				service = o.Deployment.Services[1]
			}
			f.Servers = append(f.Servers, &Server{
				Name: fmt.Sprintf("%s-%s-%d", dc, service.Prefix, i+1), Service: service.Name, DataCentre: dc,
				Slots: service.Slots, Connections: service.Connections, Address: nextAddress(), AdminAddress: nextAddress(),
			})
		}
	}
	return nil
}

// startProgram starts a program and appends its output to a log file with the given name.
func (f *Fleet) startProgram(name, program string, args ...string) (*process.Process, error) {
	path := filepath.Join(f.options.Directory, name+".log")
	output, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("create output of %s: %w", name, err)
	}
	f.files = append(f.files, output)
	return process.Start(name, filepath.Join(f.options.Programs, program), args, output)
}

// CallerAddresses returns the addresses at which the entry VMs serve callers.
func (f *Fleet) CallerAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, e := range f.Entries {
		addresses = append(addresses, e.CallerAddress)
	}
	return addresses
}

// AdminAddresses returns the admin addresses of all backend servers.
func (f *Fleet) AdminAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, s := range f.Servers {
		addresses = append(addresses, s.AdminAddress)
	}
	return addresses
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
