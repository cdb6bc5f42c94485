package process

import (
	"context"
	"sync"
	"time"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/pair"
)

// pairRegistry starts this process's parts in the pairs of service and data centre, and
// passes control messages of other members to the pair or the directory that they concern.
type pairRegistry struct {
	pairDirectory *pairDirectory
	startPair     func(id control.Pair) *pair.Pair

	mu    sync.RWMutex
	pairs map[control.Pair]*pair.Pair
}

func newPairRegistry(directory *pairDirectory, startPair func(control.Pair) *pair.Pair) *pairRegistry {
	return &pairRegistry{pairDirectory: directory, startPair: startPair, pairs: make(map[control.Pair]*pair.Pair)}
}

// pair returns a pair and starts it if needed. It returns nil for an unknown service.
func (pr *pairRegistry) pair(id control.Pair) *pair.Pair {
	pr.mu.RLock()
	p := pr.pairs[id]
	pr.mu.RUnlock()
	if p != nil {
		return p
	}
	if _, ok := pr.pairDirectory.Service(id.Service); !ok {
		return nil
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.pairs[id] == nil {
		pr.pairs[id] = pr.startPair(id)
	}
	return pr.pairs[id]
}

// all returns a copy of the map of all pairs of this process.
func (pr *pairRegistry) all() map[control.Pair]*pair.Pair {
	pr.mu.RLock()
	defer pr.mu.RUnlock()
	out := make(map[control.Pair]*pair.Pair, len(pr.pairs))
	for id, p := range pr.pairs {
		out[id] = p
	}
	return out
}

// run starts the pairs of this process after each change of the directory, until the
// context ends.
func (pr *pairRegistry) run(ctx context.Context) {
	changed, cancel := pr.pairDirectory.Subscribe()
	defer cancel()
	for {
		pr.startOwnPairs()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// startOwnPairs starts the pairs of this process's data centre, and those of other data
// centres of which it is a succession member.
func (pr *pairRegistry) startOwnPairs() {
	self := pr.pairDirectory.SelfAnnouncement().Member
	for name, service := range pr.pairDirectory.Services() {
		for _, h := range service.Homes {
			id := control.Pair{Service: name, DataCentre: h.DataCentre}
			if h.DataCentre == self.DataCentre || pr.isMember(id, self) {
				pr.pair(id)
			}
		}
	}
}

// isMember reports whether a process is a member of the newest known succession of a pair.
func (pr *pairRegistry) isMember(id control.Pair, self control.Member) bool {
	s, ok := pr.pairDirectory.Succession(id)
	if !ok {
		return false
	}
	for _, m := range s.Members {
		if m.Same(self) {
			return true
		}
	}
	return false
}

// Renew implements peer.ControlHandler.
func (pr *pairRegistry) Renew(now time.Time, r control.RenewRequest) control.RenewResponse {
	p := pr.pair(r.Pair)
	if p == nil {
		return control.RenewResponse{Pair: r.Pair}
	}
	return p.HandleRenew(now, r)
}

// Support implements peer.ControlHandler.
func (pr *pairRegistry) Support(now time.Time, r control.SupportRequest) control.SupportResponse {
	p := pr.pair(r.Pair)
	if p == nil {
		return control.SupportResponse{Pair: r.Pair, Member: pr.pairDirectory.SelfAnnouncement().Member}
	}
	return p.HandleSupport(now, r)
}

// Resign implements peer.ControlHandler.
func (pr *pairRegistry) Resign(now time.Time, r control.ResignRequest) {
	if p := pr.pair(r.Pair); p != nil {
		p.HandleResign(now, r)
	}
}

// Sync implements peer.ControlHandler.
func (pr *pairRegistry) Sync(now time.Time, r control.Sync) control.Sync {
	return pr.pairDirectory.Offer(now, r)
}
