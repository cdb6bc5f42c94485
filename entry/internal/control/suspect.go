package control

import "time"

// Suspect is an entry about a request that may crash servers. Its value is opaque to the processes that spread it.
type Suspect struct {
	Name    string
	Version uint64
	Value   []byte
	Expires time.Time
}
