package platform

// VMs is a version of the platform's list of VMs, which lags.
type VMs struct {
	Version int64
	All     []VM
}
