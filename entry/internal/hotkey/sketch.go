// Package hotkey finds the most loaded keys of an upstream in bounded memory.
//
// It implements the space-saving sketch of Metwally, Agrawal and El Abbadi, which has
// a fixed number of counters. A key that has no counter takes over the one with the
// least load. A key's counter is at most Error too high, and every key whose load
// exceeds the total load divided by the number of counters has a counter. Counters
// are halved at a fixed interval, so that keys that are no longer hot make room for
// new ones.
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

// halvingInterval is the interval at which counters are halved. It is short because hot keys change within
// minutes.
const halvingInterval = time.Minute

// Sketch counts the service time of the most loaded keys. It is not safe for concurrent use.
type Sketch struct {
	maxCounters int
	byKey       map[string]*Counter
	counters    counterHeap
	nextHalving time.Time
}

// New returns a sketch with the given number of counters.
func New(maxCounters int, now time.Time) *Sketch {
	return &Sketch{maxCounters: maxCounters, byKey: make(map[string]*Counter, maxCounters), nextHalving: now.Add(halvingInterval)}
}

// Add adds service time to the load of a key.
func (s *Sketch) Add(now time.Time, key string, serviceTime time.Duration) {
	if !now.Before(s.nextHalving) {
		s.halveCounters(now)
	}
	if c := s.byKey[key]; c != nil {
		c.Load += serviceTime
		heap.Fix(&s.counters, c.index)
		return
	}
	if len(s.counters) < s.maxCounters {
		c := &Counter{Key: key, Load: serviceTime}
		s.byKey[key] = c
		heap.Push(&s.counters, c)
		return
	}
	c := s.counters[0]
	delete(s.byKey, c.Key)
	s.byKey[key] = c
	c.Key, c.Error = key, c.Load
	c.Load += serviceTime
	heap.Fix(&s.counters, 0)
}

// halveCounters halves all counters once for each interval that has passed. Their order in the heap stays valid.
func (s *Sketch) halveCounters(now time.Time) {
	for !now.Before(s.nextHalving) {
		s.nextHalving = s.nextHalving.Add(halvingInterval)
		for _, c := range s.counters {
			c.Load /= 2
			c.Error /= 2
		}
	}
}

// Top returns copies of up to n counters, the most loaded first.
func (s *Sketch) Top(n int) []Counter {
	all := make([]Counter, len(s.counters))
	for i, c := range s.counters {
		all[i] = *c
	}
	slices.SortFunc(all, func(a, b Counter) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Key, b.Key))
	})
	return all[:min(n, len(all))]
}
