// Package settings defines the command line of platformd and reads its file of VMs.
//
// # Usage
//
//	var s settings.Settings
//	kong.Parse(&s)
//	vms, err := s.ReadVMs()
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"bramleystand.org/platformd/internal/vm"
)

// Settings describes the represented platform.
type Settings struct {
	Listen  netip.AddrPort `help:"Address; port 0 picks a free one." required:""`
	VMs     string         `name:"vms" help:"JSON file with the list of VMs: [{\"name\", \"dc\", \"state\"}]." type:"existingfile" optional:""`
	Lag     time.Duration  `help:"Time until a change of the list of VMs is visible." default:"0s"`
	History int            `help:"Changes that a watch can go back at least." default:"4096"`
	Stop    time.Duration  `help:"Time to finish calls after SIGTERM." default:"5s"`
}

// Validate returns an error that names the setting, its value and what is allowed.
func (s *Settings) Validate() error {
	if s.Lag < 0 {
		return fmt.Errorf("settings: lag: %s is not allowed, only 0s and more", s.Lag)
	}
	if s.History < 1 {
		return fmt.Errorf("settings: history: %d is not allowed, only 1 and more", s.History)
	}
	if s.Stop < 0 {
		return fmt.Errorf("settings: stop: %s is not allowed, only 0s and more", s.Stop)
	}
	return nil
}

// vmJSON is a VM in the file.
type vmJSON struct {
	Name  string `json:"name"`
	DC    string `json:"dc"`
	State string `json:"state"`
}

// ReadVMs returns the VMs of the file, or none without one.
func (s *Settings) ReadVMs() ([]vm.VM, error) {
	if s.VMs == "" {
		return nil, nil
	}
	text, err := os.ReadFile(s.VMs)
	if err != nil {
		return nil, fmt.Errorf("settings: vms: %w", err)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	var file []vmJSON
	if err := d.Decode(&file); err != nil {
		return nil, fmt.Errorf("settings: vms: %s: %w", s.VMs, err)
	}
	var list []vm.VM
	for _, f := range file {
		m := vm.VM{Name: f.Name, DataCentre: f.DC, State: f.State}
		if err := m.Validate(); err != nil {
			return nil, fmt.Errorf("settings: vms: %s: %w", s.VMs, err)
		}
		list = append(list, m)
	}
	return list, nil
}
