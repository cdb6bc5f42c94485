package vm

import "fmt"

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name       string
	DataCentre string
	// State is live or leaving.
	State string
}

// Validate returns an error that names the field, the value and what is allowed.
func (m VM) Validate() error {
	if m.Name == "" {
		return fmt.Errorf("vm: name: an empty string is not allowed")
	}
	if m.State != "live" && m.State != "leaving" {
		return fmt.Errorf("vm: %s: state: %q is not allowed, allowed: live or leaving", m.Name, m.State)
	}
	return nil
}
