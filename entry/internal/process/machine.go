package process

// Machine is a VM in the platform's list.
type Machine struct {
	Name    string
	Leaving bool
}
