package traffic

// WeightedService is a service that takes a share of the requests of a route.
type WeightedService struct {
	Service string
	// Weight is the share relative to the weights of the other services of the route.
	Weight float64
}
