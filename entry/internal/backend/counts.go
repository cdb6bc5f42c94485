package backend

// Counts holds the numbers of a client's connections and events.
type Counts struct {
	// Open is the number of connections for requests, of which Idle wait for one.
	Open, Idle int
	// Dials and Probes count connections opened since the start.
	Dials, Probes int64
	// Silent is the number of connections closed because they had gone silent.
	Silent int64
}
