package registry

// Load is the load that a backend server reports of itself.
type Load struct {
	// Running and Waiting are the requests that run and wait there, of all processes together, and Slots
	// how many may run at once.
	Running, Waiting, Slots int
	// Slowdown is how many times longer work takes at this moment than usual; 1 is as usual.
	Slowdown float64
}
