package process

// VM is a VM in the platform's list.
type VM struct {
	Name    string
	Leaving bool
}
