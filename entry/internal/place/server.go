package place

// Server is a backend server that may hold keys.
type Server struct {
	// Capacity is the number of slots multiplied by the speed of the server.
	Capacity float64
}
