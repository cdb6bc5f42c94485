package platform

// VM is a VM in the platform's list.
type VM struct {
	Name       string
	DataCentre string
	Leaving    bool
}
