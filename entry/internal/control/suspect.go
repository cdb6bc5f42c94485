package control

import "time"

// Suspect is an entry about a request that may crash backend servers. Processes that replicate
// the entry do not interpret its value.
type Suspect struct {
	Name    string
	Version uint64
	Value   []byte
	Expires time.Time
}
