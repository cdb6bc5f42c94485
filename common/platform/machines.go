package platform

// Machines is a version of the platform's list of VMs, which lags.
type Machines struct {
	Version int64
	All     []Machine
}
