package platform

// Machine is a VM in the platform's list.
type Machine struct {
	Name       string
	DataCentre string
	Leaving    bool
}
