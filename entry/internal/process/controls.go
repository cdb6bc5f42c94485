package process

import (
	"context"
	"sync"
	"time"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/pair"
)

// controls passes control messages to the pair or the directory they concern.
type controls struct {
	view  *view
	start func(id control.Pair) *pair.Pair

	mu    sync.RWMutex
	pairs map[control.Pair]*pair.Pair
}

func newControls(v *view, start func(control.Pair) *pair.Pair) *controls {
	return &controls{view: v, start: start, pairs: make(map[control.Pair]*pair.Pair)}
}

// pair returns the pair and starts it if needed; it returns nil for an unknown service.
func (c *controls) pair(id control.Pair) *pair.Pair {
	c.mu.RLock()
	p := c.pairs[id]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	if _, ok := c.view.Service(id.Service); !ok {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pairs[id] == nil {
		c.pairs[id] = c.start(id)
	}
	return c.pairs[id]
}

// all returns all pairs of this process.
func (c *controls) all() map[control.Pair]*pair.Pair {
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make(map[control.Pair]*pair.Pair, len(c.pairs))
	for id, p := range c.pairs {
		out[id] = p
	}
	return out
}

// run starts the pairs that concern this process, until the context ends: those of
// its data centre, and those elsewhere of which it is a succession member.
func (c *controls) run(ctx context.Context) {
	changed, cancel := c.view.Subscribe()
	defer cancel()
	for {
		c.startPairs()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (c *controls) startPairs() {
	self := c.view.Self().Member
	for name, service := range c.view.Services() {
		for _, h := range service.Homes {
			id := control.Pair{Service: name, DataCentre: h.DataCentre}
			if h.DataCentre == self.DataCentre || c.isMember(id, self) {
				c.pair(id)
			}
		}
	}
}

func (c *controls) isMember(id control.Pair, self control.Member) bool {
	s, ok := c.view.Succession(id)
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

// Renew implements peer.Controls.
func (c *controls) Renew(now time.Time, r control.RenewRequest) control.RenewResponse {
	p := c.pair(r.Pair)
	if p == nil {
		return control.RenewResponse{Pair: r.Pair}
	}
	return p.HandleRenew(now, r)
}

// Support implements peer.Controls.
func (c *controls) Support(now time.Time, r control.SupportRequest) control.SupportResponse {
	p := c.pair(r.Pair)
	if p == nil {
		return control.SupportResponse{Pair: r.Pair, Member: c.view.Self().Member}
	}
	return p.HandleSupport(now, r)
}

// Resign implements peer.Controls.
func (c *controls) Resign(now time.Time, r control.ResignRequest) {
	if p := c.pair(r.Pair); p != nil {
		p.HandleResign(now, r)
	}
}

// Sync implements peer.Controls.
func (c *controls) Sync(now time.Time, r control.Sync) control.Sync {
	return c.view.Offer(now, r)
}
