package backend

// Counts holds the connection statistics of a client.
type Counts struct {
	// Open is the number of connections for requests, of which Idle carry none at present.
	Open, Idle int
	// Dials is the number of connections opened so far for requests and grants, Probes that
	// for probes.
	Dials, Probes int64
	// Silent is the number of connections closed because they had gone silent.
	Silent int64
}
