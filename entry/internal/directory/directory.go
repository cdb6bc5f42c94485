// Package directory holds what every entry process knows of the others and of the
// platform: configuration objects, succession records, routing tables, members and
// suspect requests, each in its newest version.
//
// A version is never replaced by an earlier one, whatever the order in which
// events arrive, so old watch events, duplicates and peers that were paused do no
// harm. Directories converge by exchanging control.Sync messages in pairs: equal
// directories compare one hash, and otherwise the versions learned in the last
// seconds; if those do not explain the difference, the hashes of 64 buckets find
// the items that differ.
//
// Membership costs no traffic while nothing changes. A member is taken for alive
// until another gets no answer from it twice in a row and reports it as silent; a
// member that learns of such a report contradicts it with a higher beat.
//
// Lookups read an immutable snapshot and take no lock. Exchanges take a lock.
//
// # Usage
//
// The caller of an exchange, every Interval with Partner(true) and every
// RemoteInterval with Partner(false):
//
//	partner, ok := d.Partner(true)
//	message := d.Digest(time.Now())
//	for range directory.Rounds {
//		answer, err := peers.Sync(ctx, partner, message)
//		if err != nil {
//			d.Missed(time.Now(), partner)
//			return
//		}
//		next, more := d.Merge(time.Now(), answer)
//		if !more {
//			break
//		}
//		message = next
//	}
//	d.Reached(time.Now(), partner)
//
// The other side answers each message with d.Offer(time.Now(), message).
package directory

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bramleystand.org/entry/internal/control"
)

// Rhythm of the exchanges.
const (
	// Interval is the time between exchanges with a member of the own data centre.
	Interval = 250 * time.Millisecond
	// RemoteInterval is the time between exchanges with a member of another data centre.
	RemoteInterval = time.Second
	// Rounds bounds the messages of one exchange; a longer one continues in the next exchange.
	Rounds = 6
)

// Directory is the state that all entry processes share, as far as this process knows it.
type Directory struct {
	snapshot atomic.Pointer[snapshot]
	changes  atomic.Uint64

	mu          sync.Mutex
	store       store
	draft       draft
	self        control.Announcement
	seeds       []netip.AddrPort
	random      *rand.Rand
	contacts    contacts
	subscribers map[chan struct{}]struct{}
}

// New returns the directory of a member that knows of the others only the seeds.
func New(now time.Time, self control.Member, seeds []netip.AddrPort, random *rand.Rand) *Directory {
	d := &Directory{
		store:       newStore(),
		draft:       newDraft(),
		self:        control.Announcement{Member: self, Beat: 1},
		random:      random,
		contacts:    contacts{missed: map[string]control.Announcement{}},
		subscribers: map[chan struct{}]struct{}{},
	}
	for _, s := range seeds {
		if s != self.Address {
			d.seeds = append(d.seeds, s)
		}
	}
	d.snapshot.Store(newSnapshot())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(now, memberItem(d.self))
	d.publish()
	return d
}

// Changes counts the changes of anything that lookups return.
func (d *Directory) Changes() uint64 {
	return d.changes.Load()
}

// Subscribe returns a channel that receives after one or more changes, and a function that ends this.
func (d *Directory) Subscribe() (changed <-chan struct{}, cancel func()) {
	c := make(chan struct{}, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers[c] = struct{}{}
	return c, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.subscribers, c)
	}
}
