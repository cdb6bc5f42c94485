package platform

// VMs is one version of the platform's list of VMs. The list lags behind the actual state.
type VMs struct {
	Version int64
	Items   []VM
}
