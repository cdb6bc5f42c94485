// Package fleetsize tells how many entry processes share a limit.
//
// A process that is cut off hears of fewer members, but the others still run and use their parts
// of the limit. So the size is the largest number of members of the last minutes.
//
// # Usage
//
//	var s fleetsize.Size
//	n := s.Note(time.Now(), len(members))
package fleetsize

import "time"

// memory is how long a number of members counts. Partitions that last longer than this are
// rarer than fleets that are made smaller.
const memory = 10 * time.Minute

// Size is the number of entry processes. It is not safe for concurrent use.
type Size struct {
	// largest are numbers of members, falling, each the largest since the time of the one before it.
	largest []noted
}

// noted is a number of members with the time at which it was last seen.
type noted struct {
	members int
	at      time.Time
}

// Note takes the present number of members and returns the size.
func (s *Size) Note(now time.Time, members int) int {
	for len(s.largest) > 0 && s.largest[len(s.largest)-1].members <= members {
		s.largest = s.largest[:len(s.largest)-1]
	}
	s.largest = append(s.largest, noted{members, now})
	for now.Sub(s.largest[0].at) > memory {
		s.largest = s.largest[1:]
	}
	return s.largest[0].members
}
