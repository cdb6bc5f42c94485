package deployment

// Service is one service of a deployment. The first serves every rank, the second takes most uploads.
type Service struct {
	Name string
	// Keys is the number of distinct keys that callers use.
	Keys int
	// Prefix starts the name of each key.
	Prefix      string
	Upstreams   int
	Slots       int
	Connections int
}
