// Package directory replicates the state that all entry processes share: the
// configuration objects and succession records of the platform, routing tables,
// members (the entry processes) and suspect requests, each in its newest version.
//
// A version is never replaced by an earlier one, in whatever order updates arrive,
// so old watch events, duplicates and peers that were paused do no harm. The
// directories of two processes converge by exchanging control.Sync messages. Equal
// directories only compare one hash. Otherwise they compare the versions received in
// the last seconds; if those do not explain the difference, the hashes of 64 buckets
// find the items that differ.
//
// Membership costs no traffic while nothing changes. A member is taken to be alive
// until another one gets no response from it twice in a row and reports it as silent.
// A member that learns of such a report about itself refutes it with a higher sequence number.
//
// Lookups read an immutable snapshot and take no lock. Exchanges take a lock.
//
// # Usage
//
// A process starts an exchange every ExchangeInterval with PickPartner(true) and every
// RemoteExchangeInterval with PickPartner(false):
//
//	partner, ok := d.PickPartner(true)
//	message := d.Digest(time.Now())
//	for range directory.MaxExchangeRounds {
//		response, err := peers.Sync(ctx, partner, message)
//		if err != nil {
//			d.ExchangeFailed(time.Now(), partner)
//			return
//		}
//		next, more := d.Merge(time.Now(), response)
//		if !more {
//			break
//		}
//		message = next
//	}
//	d.ExchangeSucceeded(time.Now(), partner)
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

// Timing and length of the exchanges.
const (
	// ExchangeInterval is the time between exchanges with members of the own data centre.
	ExchangeInterval = 250 * time.Millisecond
	// RemoteExchangeInterval is the time between exchanges with members of other data centres.
	RemoteExchangeInterval = time.Second
	// MaxExchangeRounds bounds the requests of one exchange. What is missing after them is left to the next exchange.
	MaxExchangeRounds = 6
)

// Directory holds the shared state as far as this process knows it. It is safe for concurrent use.
type Directory struct {
	snapshot    atomic.Pointer[snapshot]
	changeCount atomic.Uint64

	mu              sync.Mutex
	store           store
	pendingSnapshot pendingSnapshot
	self            control.Announcement
	seeds           []netip.AddrPort
	random          *rand.Rand
	contacts        contacts
	subscribers     map[chan struct{}]struct{}
}

// New returns the directory of a member that knows only itself and the addresses of the seeds.
func New(now time.Time, self control.Member, seeds []netip.AddrPort, random *rand.Rand) *Directory {
	d := &Directory{
		store:           newStore(),
		pendingSnapshot: newPendingSnapshot(),
		self:            control.Announcement{Member: self, SequenceNumber: 1},
		random:          random,
		contacts:        contacts{failed: map[string]control.Announcement{}},
		subscribers:     map[chan struct{}]struct{}{},
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

// ChangeCount returns how many snapshots with changes have been published.
func (d *Directory) ChangeCount() uint64 {
	return d.changeCount.Load()
}

// Subscribe returns a channel that receives a value after one or more changes, and a function that ends the
// subscription.
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
