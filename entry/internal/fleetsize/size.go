// Package fleetsize estimates how many entry processes share a limit.
//
// A process that is cut off sees fewer members, but the others still run and use their parts of
// the limit. So the size is the largest number of members in the last minutes.
//
// # Usage
//
//	var s fleetsize.Size
//	n := s.Observe(time.Now(), len(members))
package fleetsize

import "time"

// retention is how long a number of members counts. Partitions that last longer are rarer than a
// reduction of the number of processes.
const retention = 10 * time.Minute

// Size is the number of entry processes. It is not safe for concurrent use.
type Size struct {
	// maxima are decreasing numbers of members, each the largest since the previous one was last
	// seen.
	maxima []observation
}

// observation is a number of members with the time at which it was last seen.
type observation struct {
	members  int
	lastSeen time.Time
}

// Observe records the present number of members and returns the size.
func (s *Size) Observe(now time.Time, members int) int {
	for len(s.maxima) > 0 && s.maxima[len(s.maxima)-1].members <= members {
		s.maxima = s.maxima[:len(s.maxima)-1]
	}
	s.maxima = append(s.maxima, observation{members, now})
	for now.Sub(s.maxima[0].lastSeen) > retention {
		s.maxima = s.maxima[1:]
	}
	return s.maxima[0].members
}
