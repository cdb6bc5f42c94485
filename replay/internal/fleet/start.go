package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
)

// settingsJSON is the settings file of an entry process.
type settingsJSON struct {
	Name             string           `json:"name"`
	Centre           string           `json:"centre"`
	Region           string           `json:"region"`
	CallerAddress    netip.AddrPort   `json:"caller"`
	PeerAddress      netip.AddrPort   `json:"peer"`
	AnnouncedAddress netip.AddrPort   `json:"announce"`
	AdminAddress     netip.AddrPort   `json:"admin"`
	Platform         netip.AddrPort   `json:"platform"`
	Seeds            []netip.AddrPort `json:"seeds"`
	StopTimeout      string           `json:"stop"`
	MaxBody          int64            `json:"body"`
}

// StartEntry writes the settings file of an entry VM and starts its process. The other entry
// VMs are its seeds.
func (f *Fleet) StartEntry(e *Entry) error {
	s := settingsJSON{
		Name: e.Name, Centre: e.DataCentre, Region: f.options.Deployment.Region, CallerAddress: e.CallerAddress, PeerAddress: e.PeerAddress,
		AnnouncedAddress: e.AnnouncedAddress, AdminAddress: e.AdminAddress, Platform: f.entryPlatformAddress, StopTimeout: f.options.StopTimeout.String(), MaxBody: f.options.MaxBody,
	}
	for _, o := range f.Entries {
		if o != e {
			s.Seeds = append(s.Seeds, o.AnnouncedAddress)
		}
	}
	content, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return fmt.Errorf("encode settings of %s: %w", e.Name, err)
	}
	path := filepath.Join(f.options.Directory, e.Name+".json")
	if err := os.WriteFile(path, content, 0o644); err != nil {
		return fmt.Errorf("write settings of %s: %w", e.Name, err)
	}
	e.Process, err = f.startProgram(e.Name, "entry", "--settings", path)
	return err
}

// StartServer starts the process of a backend server.
func (f *Fleet) StartServer(s *Server) error {
	args := []string{
		"--name", s.Name, "--listen", s.Address.String(), "--admin", s.AdminAddress.String(),
		"--slots", fmt.Sprint(s.Slots), "--connections", fmt.Sprint(s.Connections),
	}
	if f.options.Unfenced {
		args = append(args, "--no-fenced")
	}
	process, err := f.startProgram(s.Name, "backendd", append(args, f.options.BackendArgs...)...)
	s.Process = process
	return err
}
