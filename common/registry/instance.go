package registry

// Instance identifies one run of a backend server's process. A server that restarts under the
// same ID is another Instance and has no state of the earlier one.
type Instance struct {
	ID string
	// Incarnation is the start time of the process in Unix milliseconds.
	Incarnation int64
}
