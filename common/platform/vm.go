package platform

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name       string
	DataCentre string
	// Leaving is true if the VM is about to be removed.
	Leaving bool
}
