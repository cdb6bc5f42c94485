package traffic

// Backend is a service that takes a share of the requests of a route.
type Backend struct {
	Service string
	// Weight is the share relative to the weights of the other backends of the route.
	Weight float64
}
