package server

// load is the number of running and waiting requests.
type load struct {
	running, waiting int
}
