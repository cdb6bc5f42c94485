package vm

import "fmt"

// VM is a VM of the platform.
type VM struct {
	Name       string
	DataCentre string
	// State is live or leaving.
	State string
}

// Validate returns an error that names field, value and what is allowed.
func (m VM) Validate() error {
	if m.Name == "" {
		return fmt.Errorf("vm: name: an empty one is not allowed")
	}
	if m.State != "live" && m.State != "leaving" {
		return fmt.Errorf("vm: %s: state: %q is not allowed, only live and leaving", m.Name, m.State)
	}
	return nil
}
