// Package settings defines the flags of platformd and reads its file of VMs.
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

// Settings holds the flags of platformd.
type Settings struct {
	Listen  netip.AddrPort `help:"Address to listen on; port 0 picks a free port." required:""`
	VMs     string         `name:"vms" help:"JSON file with the list of VMs: [{\"name\", \"dc\", \"state\"}]." type:"existingfile" optional:""`
	Lag     time.Duration  `help:"Time until a change of the list of VMs becomes visible." default:"0s"`
	History int            `help:"Minimum number of past changes that a watch can still read." default:"4096"`
	Stop    time.Duration  `help:"Time that calls have to finish after SIGTERM." default:"5s"`
}

// Validate returns an error that names the flag, its value and what is allowed.
func (s *Settings) Validate() error {
	if s.Lag < 0 {
		return fmt.Errorf("settings: lag: %s is not allowed, allowed: 0s or more", s.Lag)
	}
	if s.History < 1 {
		return fmt.Errorf("settings: history: %d is not allowed, allowed: 1 or more", s.History)
	}
	if s.Stop < 0 {
		return fmt.Errorf("settings: stop: %s is not allowed, allowed: 0s or more", s.Stop)
	}
	return nil
}

// vmJSON is the JSON form of a VM in the file.
type vmJSON struct {
	Name  string `json:"name"`
	DC    string `json:"dc"`
	State string `json:"state"`
}

// ReadVMs returns the VMs in the file, or none if no file is set.
func (s *Settings) ReadVMs() ([]vm.VM, error) {
	if s.VMs == "" {
		return nil, nil
	}
	data, err := os.ReadFile(s.VMs)
	if err != nil {
		return nil, fmt.Errorf("settings: vms: %w", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var file []vmJSON
	if err := decoder.Decode(&file); err != nil {
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
