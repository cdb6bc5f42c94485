package place

// Limits set when a server gives keys away.
type Limits struct {
	// Tolerance is the utilisation relative to the mean up to which a server keeps its keys.
	Tolerance float64
	// Noise is the standard deviation of a server's measured utilisation as a fraction of the mean.
	// It follows from the number of requests counted.
	Noise float64
}
