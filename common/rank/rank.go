// Package rank defines the three priority classes of requests, from most to least urgent.
//
// # Usage
//
//	r, err := rank.Parse(req.Header.Get("Bramley-Rank"))
//	queues[r].push(req)
package rank

import "fmt"

// Rank is the priority class of a request; a smaller value is more urgent.
type Rank uint8

// The ranks in order of urgency.
const (
	Confirmation Rank = iota
	Lookup
	Upload
)

// Count is the number of ranks, for arrays indexed by rank.
const Count = 3

var rankNames = [Count]string{"confirmation", "lookup", "upload"}

// Parse returns the rank with the given name.
func Parse(name string) (Rank, error) {
	for i, n := range rankNames {
		if n == name {
			return Rank(i), nil
		}
	}
	return 0, fmt.Errorf("rank: %q is unknown, allowed are confirmation, lookup and upload", name)
}

// String returns the name of the rank.
func (r Rank) String() string {
	if int(r) < Count {
		return rankNames[r]
	}
	return fmt.Sprintf("rank(%d)", uint8(r))
}
