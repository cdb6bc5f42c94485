package cluster

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/entry/internal/ownership"
	"bramleystand.org/entry/internal/replica"
	"bramleystand.org/entry/internal/report"
)

var (
	errNotCoordinator = eris.New("cluster: this process is not the coordinator")
	errNoBase         = eris.New("cluster: a difference to a table that was not sent")
)

// followLoop follows the coordinator. Tables come from it; while there is none, they are read
// from the store.
func (n *Node) followLoop(ctx context.Context) {
	var nextList time.Time
	for ctx.Err() == nil {
		n.mu.Lock()
		holder, known := n.election.Holder()
		_, holding := n.election.Holding()
		n.mu.Unlock()
		if known && !holding && holder.Name != n.self.Name {
			n.clock.begin(holder.Name)
			clear(n.received)
			if err := n.peers.Follow(ctx, holder.Address, guideTime, n.take); err != nil && ctx.Err() == nil {
				n.logger.WithError(err).WithField("coordinator", holder.Name).Info("coordinator not followed")
			}
		}
		if now := time.Now(); !holding && !now.Before(nextList) {
			nextList = now.Add(tablesInterval)
			n.listTables(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(followPause):
		}
	}
}

// supervise makes the watches look again when the process can no longer rely on the coordinator,
// because it is silent, has lost the store, or is this process.
func (n *Node) supervise(now time.Time) {
	n.mu.Lock()
	_, holding := n.election.Holding()
	relying := !holding && now.Sub(n.guided) < guideTime
	lost := n.relying && !relying
	n.relying = relying
	n.mu.Unlock()
	if !lost {
		return
	}
	for _, c := range n.checks {
		c.Check()
	}
}

// listTables reads the tables from the store.
func (n *Node) listTables(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	objects, _, err := n.store.List(bounded, replica.KindTables)
	if err != nil {
		n.logger.WithError(err).Debug("tables not read")
		return
	}
	n.replica.Sink(replica.KindTables).Reset(time.Now(), objects)
}

// take uses an update of the coordinator.
func (n *Node) take(u report.Update) error {
	now := time.Now()
	n.compareClocks(now, u)
	if u.Sure {
		n.mu.Lock()
		n.guided = now
		n.election.Hear(now, u.Term)
		n.mu.Unlock()
	}
	n.crashes.Condemn(now, u.Condemned)
	for _, o := range u.Objects {
		if err := n.takeTable(o); err != nil {
			return err
		}
	}
	for _, m := range u.Marks {
		if c := n.checks[m.Kind]; c != nil && n.replica.Mark(m.Kind).Behind(m) {
			time.AfterFunc(missedDelay, func() {
				if n.replica.Mark(m.Kind).Behind(m) {
					n.logger.WithField("kind", m.Kind).Info("watch has missed a change")
					c.Check()
				}
			})
		}
	}
	return nil
}

// takeTable uses a table of the coordinator, or the difference to the one that it sent before.
func (n *Node) takeTable(o report.Object) error {
	var t *ownership.Table
	var err error
	switch base := n.received[o.Name]; {
	case o.Base == 0:
		t, err = ownership.Decode(o.Name, o.Revision, o.Data)
	case base == nil || base.Revision != o.Base:
		err = errNoBase
	default:
		t, err = ownership.Apply(base, o.Revision, o.Data)
	}
	if err != nil {
		return fmt.Errorf("cluster: table of %q: %w", o.Name, err)
	}
	data, err := ownership.Encode(t)
	if err != nil {
		return fmt.Errorf("cluster: table of %q: %w", o.Name, err)
	}
	n.received[o.Name] = t
	n.replica.StoreTable(t, data)
	return nil
}

// missedDelay is how long a change that the coordinator has seen may still come by the own watch.
const missedDelay = 150 * time.Millisecond

// Follow implements report.Handler. It sends the tables whole at first and then what changes: a
// table of 400 servers has 40 KB, and some hundred processes get each change.
func (n *Node) Follow(ctx context.Context, send func(report.Update) error) error {
	sent := make(map[string]*ownership.Table)
	marks := make(map[string]report.Mark)
	ticker := time.NewTicker(aliveInterval)
	defer ticker.Stop()
	for {
		n.mu.Lock()
		term, holding := n.election.Holding()
		sure := time.Since(n.election.Confirmed()) < confirmTime
		n.mu.Unlock()
		if !holding {
			return errNotCoordinator
		}
		changed := n.view.Changed()
		u := report.Update{Term: term, Sent: time.Now(), Sure: sure, Condemned: n.crashes.Verdicts(time.Now())}
		for name, t := range n.view.Tables() {
			if last := sent[name]; last != nil && last.Revision >= t.Revision {
				continue
			}
			o, err := n.differences.object(sent[name], t)
			if err != nil {
				return err
			}
			sent[name] = t
			u.Objects = append(u.Objects, o)
		}
		for kind := range n.checks {
			if m := n.replica.Mark(kind); m != marks[kind] {
				marks[kind] = m
				u.Marks = append(u.Marks, m)
			}
		}
		if err := send(u); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}
