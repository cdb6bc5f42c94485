// Package hotkey finds the most loaded keys of an upstream in bounded memory.
//
// It is the space-saving sketch of Metwally, Agrawal and El Abbadi: a fixed number
// of counters, of which the smallest is given to a key that has none. A key's
// counter is at most Error too high, and every key with more than the total divided
// by the number of counters is among them. Counters are halved at a fixed interval,
// so that yesterday's hot keys make room for today's.
//
// # Usage
//
//	s := hotkey.New(256, now)
//	s.Add(now, key, serviceTime)
//	for _, c := range s.Top(10) {
//		fmt.Println(c.Key, c.Load)
//	}
package hotkey

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// halfLife is the interval at which counters are halved; hot keys change within minutes.
const halfLife = time.Minute

// Sketch counts the service time of the most loaded keys. It is not safe for concurrent use.
type Sketch struct {
	size   int
	byKey  map[string]*Counter
	lowest counters
	halve  time.Time
}

// New returns a sketch with the given number of counters.
func New(size int, now time.Time) *Sketch {
	return &Sketch{size: size, byKey: make(map[string]*Counter, size), halve: now.Add(halfLife)}
}

// Add counts service time of a key.
func (s *Sketch) Add(now time.Time, key string, service time.Duration) {
	if !now.Before(s.halve) {
		s.age(now)
	}
	if c := s.byKey[key]; c != nil {
		c.Load += service
		heap.Fix(&s.lowest, c.index)
		return
	}
	if len(s.lowest) < s.size {
		c := &Counter{Key: key, Load: service}
		s.byKey[key] = c
		heap.Push(&s.lowest, c)
		return
	}
	c := s.lowest[0]
	delete(s.byKey, c.Key)
	s.byKey[key] = c
	c.Key, c.Error = key, c.Load
	c.Load += service
	heap.Fix(&s.lowest, 0)
}

// age halves all counters, which keeps their order.
func (s *Sketch) age(now time.Time) {
	for !now.Before(s.halve) {
		s.halve = s.halve.Add(halfLife)
		for _, c := range s.lowest {
			c.Load /= 2
			c.Error /= 2
		}
	}
}

// Top returns up to n counters, the most loaded first.
func (s *Sketch) Top(n int) []Counter {
	all := make([]Counter, len(s.lowest))
	for i, c := range s.lowest {
		all[i] = *c
	}
	slices.SortFunc(all, func(a, b Counter) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Key, b.Key))
	})
	return all[:min(n, len(all))]
}
