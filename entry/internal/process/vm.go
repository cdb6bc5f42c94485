package process

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name    string
	Leaving bool
}
