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
	errOrderExpired   = eris.New("cluster: the order was not sent in time")
	errUnknownBase    = eris.New("cluster: table difference refers to a revision that was not received")
)

// followLoop follows the coordinator, which sends the tables. While there is none, the tables are
// read from the store.
func (n *Node) followLoop(ctx context.Context) {
	var nextList time.Time
	for ctx.Err() == nil {
		n.mu.Lock()
		holder, known := n.election.Holder()
		_, holding := n.election.HeldTerm()
		n.mu.Unlock()
		if known && !holding && holder.Name != n.self.Name {
			n.clockOffset.setCoordinator(holder.Name)
			clear(n.received)
			if err := n.peers.Follow(ctx, holder.Address, n.marks(), updateTimeout, n.applyUpdate); err != nil && ctx.Err() == nil {
				n.logger.WithError(err).WithField("coordinator", holder.Name).Info("coordinator not followed")
			}
		}
		if now := time.Now(); !holding && !now.Before(nextList) {
			nextList = now.Add(tableReadInterval)
			n.listTables(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(followRetryInterval):
		}
	}
}

// checkUpdates makes the watchers list their objects again when the process can no longer rely on
// the coordinator's updates, because the coordinator is silent, has lost the store, or is this
// process.
func (n *Node) checkUpdates(now time.Time) {
	n.mu.Lock()
	_, holding := n.election.HeldTerm()
	reliesOnUpdates := !holding && now.Sub(n.lastUpdate) < updateTimeout
	lost := n.reliesOnUpdates && !reliesOnUpdates
	n.reliesOnUpdates = reliesOnUpdates
	n.mu.Unlock()
	if !lost {
		return
	}
	for _, c := range n.watchers {
		c.Check()
	}
}

// isCurrent reports whether the store has answered all watchers within maxStoreAge.
func (n *Node) isCurrent(now time.Time) bool {
	for _, c := range n.watchers {
		if now.Sub(c.Heard()) > maxStoreAge {
			return false
		}
	}
	return true
}

// listTables reads all tables from the store.
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

// applyUpdate applies an update from the coordinator.
func (n *Node) applyUpdate(u report.Update) error {
	now := time.Now()
	n.compareClocks(now, u)
	n.recordUpdate(now, u)
	n.crashes.Block(now, u.Condemned)
	if u.Loss >= 0 {
		n.replica.NoteLoss(now.Add(-u.Loss))
	}
	if err := n.applyObjects(now, u.Objects); err != nil {
		return err
	}
	for _, m := range u.Marks {
		if c := n.watchers[m.Kind]; c != nil && n.replica.Mark(m.Kind).Behind(m) {
			time.AfterFunc(missedChangeDelay, func() {
				if n.replica.Mark(m.Kind).Behind(m) {
					n.logger.WithField("kind", m.Kind).Info("watch has missed a change")
					c.Check()
				}
			})
		}
	}
	return nil
}

// recordUpdate records an update as a sign of life from the coordinator.
func (n *Node) recordUpdate(now time.Time, u report.Update) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if u.Sure {
		n.election.RecordHolderAlive(now, u.Term)
	}
	n.lastUpdate = time.Time{}
	if u.Current {
		n.lastUpdate = now
	}
}

// applyObjects applies tables and changed objects from the coordinator.
func (n *Node) applyObjects(now time.Time, objects []report.Object) error {
	var changes []report.Object
	for _, o := range objects {
		if o.Kind == replica.KindTables {
			if err := n.applyTable(o); err != nil {
				return err
			}
			continue
		}
		unpacked, err := decompress(o)
		if err != nil {
			return err
		}
		changes = append(changes, unpacked)
	}
	if len(changes) > 0 {
		n.replica.Take(now, changes)
	}
	return nil
}

// marks returns how far the copies of the watched kinds go.
func (n *Node) marks() []report.Mark {
	var out []report.Mark
	for kind := range n.watchers {
		out = append(out, n.replica.Mark(kind))
	}
	return out
}

// applyTable applies a table from the coordinator, or the difference to the one that it sent
// before.
func (n *Node) applyTable(o report.Object) error {
	var t *ownership.Table
	var err error
	switch base := n.received[o.Name]; {
	case o.Base == 0:
		t, err = ownership.Decode(o.Name, o.Revision, o.Data)
	case base == nil || base.Revision != o.Base:
		err = errUnknownBase
	default:
		t, err = ownership.Apply(base, o.Revision, o.Data)
	}
	if err != nil {
		return fmt.Errorf("cluster: table of %q: %w", o.Name, err)
	}
	n.received[o.Name] = t
	n.replica.StoreTable(t)
	return nil
}

// missedChangeDelay is how long a change that the coordinator has seen may still arrive through the
// process's own watch.
const missedChangeDelay = 150 * time.Millisecond

// Follow implements report.Handler. It first sends whole tables and then differences, because a
// table of 400 servers has 40 KB and some hundred processes get each change. It also sends changes
// of configuration and servers, so that one process watches the store for all.
func (n *Node) Follow(ctx context.Context, known []report.Mark, send func(report.Update) error) error {
	sent := make(map[string]*ownership.Table)
	marks := make(map[string]report.Mark)
	position := n.replica.Position()
	var objects []report.Object
	for _, m := range known {
		objects = append(objects, n.replica.Newer(m)...)
	}
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		n.mu.Lock()
		term, holding := n.election.HeldTerm()
		sure := time.Since(n.election.Confirmed()) < confirmationTimeout
		n.mu.Unlock()
		if !holding {
			return errNotCoordinator
		}
		changed := n.view.Changed()
		now := time.Now()
		u := report.Update{Term: term, Sent: now, Sure: sure, Current: sure && n.isCurrent(now), Loss: -1, Condemned: n.crashes.Blocked(now)}
		if loss := n.replica.Loss(); !loss.IsZero() {
			u.Loss = now.Sub(loss)
		}
		changes, next := n.replica.Since(position)
		objects, position = append(objects, changes...), next
		for _, o := range objects {
			packed, err := n.encoded.compress(o)
			if err != nil {
				return err
			}
			if len(packed.Data) <= maxPushSize {
				u.Objects = append(u.Objects, packed)
			}
		}
		objects = nil
		for name, t := range n.view.Tables() {
			if last := sent[name]; last != nil && last.Revision >= t.Revision {
				continue
			}
			o, err := n.encoded.encodeTable(sent[name], t)
			if err != nil {
				return err
			}
			sent[name] = t
			u.Objects = append(u.Objects, o)
		}
		for kind := range n.watchers {
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
