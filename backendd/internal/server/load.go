package server

// load is the number of running and of waiting requests.
type load struct {
	running, waiting int
}
