package deployment

// Service is one service of a deployment. The first service of a deployment handles
// requests of every rank, the second one most uploads.
type Service struct {
	Name string
	// Keys is the number of distinct keys that callers use.
	Keys int
	// Prefix is the first part of the name of each key.
	Prefix      string
	Upstreams   int
	Slots       int
	Connections int
}
