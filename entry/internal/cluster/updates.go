package cluster

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/entry/internal/election"
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
		holder, known := n.holder()
		_, holding := n.election.HeldTerm()
		n.mu.Unlock()
		if known && !holding && holder.Name != n.self.Name {
			n.clockOffset.setCoordinator(holder.Name)
			if err := n.peers.Follow(ctx, holder.Address, n.followRequest(), updateTimeout, n.applyUpdate); err != nil && ctx.Err() == nil {
				n.logger.WithError(err).WithField("coordinator", holder.Name).Info("coordinator not followed")
				if earliest := time.Now().Add(n.doubtHolder()); earliest.After(nextList) {
					nextList = earliest
				}
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

// doubtHolder makes a process on a large VM read the lock, because the coordinator is no longer followed. The
// others get to know a new coordinator from its announcement, or read the lock later. It returns how long
// this process still waits before it reads the store.
func (n *Node) doubtHolder() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.onSmallVM() {
		n.election.DoubtHolder()
	}
	return n.fallBackDelay()
}

// checkUpdates makes the watchers list their objects again when the process can no longer rely on
// the coordinator's updates, because the coordinator is silent, has lost the store, or is this
// process.
func (n *Node) checkUpdates(now time.Time) {
	n.mu.Lock()
	_, holding := n.election.HeldTerm()
	reliesOnUpdates := !holding && now.Before(n.fallBackAt)
	lost := n.reliesOnUpdates && !reliesOnUpdates
	n.reliesOnUpdates = reliesOnUpdates
	n.mu.Unlock()
	if lost {
		n.relist()
	}
}

// relist makes the watchers list their objects again.
func (n *Node) relist() {
	for _, c := range n.watchers {
		c.Relist()
	}
}

// isCurrent reports whether the store has responded to all watchers within maxStoreAge.
func (n *Node) isCurrent(now time.Time) bool {
	for _, c := range n.watchers {
		if now.Sub(c.LastResponse()) > maxStoreAge {
			return false
		}
	}
	return true
}

// listTables reads all tables from the store. A process that has none yet first takes what the store had
// lately.
func (n *Node) listTables(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list := n.store.List
	if len(n.view.Tables()) == 0 && !n.readTables {
		list = n.store.ListStale
	}
	n.readTables = true
	objects, _, err := list(bounded, replica.KindTables)
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
	n.crashes.Merge(now, u.Crashes)
	if u.LastOutage >= 0 {
		n.replica.NoteOutage(now.Add(-u.LastOutage))
	}
	if err := n.applyObjects(now, u.Objects); err != nil {
		return err
	}
	for _, m := range u.CopyVersions {
		if c := n.watchers[m.Kind]; c != nil && n.replica.CopyVersion(m.Kind).Behind(m) {
			time.AfterFunc(missedChangeDelay, func() {
				if n.replica.CopyVersion(m.Kind).Behind(m) {
					n.logger.WithField("kind", m.Kind).Info("watch has missed a change")
					c.Relist()
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
	n.era.observe(now, latestEra(u))
	if u.LockAge >= 0 {
		n.election.RecordHolderWrite(election.Write{Term: u.Term, Heartbeat: u.LockHeartbeat, SentAt: now.Add(-u.LockAge)})
	}
	if u.LockConfirmed {
		n.election.RecordHolderAlive(now, u.Term)
	}
	fallBackAt := now.Add(n.fallBackDelay())
	if u.UpToDate {
		n.fallBackAt = fallBackAt.Add(updateTimeout)
	} else if fallBackAt.Before(n.fallBackAt) {
		n.fallBackAt = fallBackAt
	}
}

// applyObjects applies tables and changed objects from the coordinator.
func (n *Node) applyObjects(now time.Time, objects []report.Object) error {
	var changes []report.Object
	for _, o := range objects {
		if o.Kind == replica.KindTables {
			if err := n.applyTable(o); err != nil {
				// The next stream begins with the whole table.
				delete(n.received, o.Name)
				return err
			}
			continue
		}
		several, err := unbundle(o)
		if err != nil {
			return err
		}
		changes = append(changes, several...)
	}
	if len(changes) > 0 {
		n.replica.ApplyChanges(now, changes)
	}
	return nil
}

// followRequest returns what this process has.
func (n *Node) followRequest() report.FollowRequest {
	var r report.FollowRequest
	for kind := range n.watchers {
		r.CopyVersions = append(r.CopyVersions, n.replica.CopyVersion(kind))
	}
	for _, t := range n.received {
		r.Tables = append(r.Tables, tableVersion(t))
	}
	return r
}

// applyTable applies a table from the coordinator, or the difference to the one that it sent
// before.
func (n *Node) applyTable(o report.Object) error {
	o, err := decompress(o)
	if err != nil {
		return err
	}
	var t *ownership.Table
	switch base := n.received[o.Name]; {
	case o.BaseRevision == 0:
		t, err = ownership.Decode(o.Name, o.Revision, o.Data)
	case base == nil || base.Revision != o.BaseRevision:
		err = errUnknownBase
	default:
		t, err = ownership.Apply(base, o.Revision, o.Data)
	}
	if err != nil {
		return fmt.Errorf("cluster: table of %q: %w", o.Name, err)
	}
	n.received[o.Name] = t
	n.recent.add(t)
	n.replica.UpdateTable(t)
	return nil
}

// missedChangeDelay is how long a change that the coordinator has seen may still arrive through the
// process's own watch.
const missedChangeDelay = 150 * time.Millisecond

// awaitNextUpdate waits until the next update to a follower may be sent. Changes of servers wait longer the
// more followers there are, so that some share an update; those of tables do not, because requests go to
// the wrong server meanwhile.
func (n *Node) awaitNextUpdate(ctx context.Context, lastSent time.Time, sent map[string]*ownership.Table) error {
	n.mu.Lock()
	next := lastSent.Add(time.Duration(n.followers) * followerInterval)
	n.mu.Unlock()
	for time.Now().Before(next) {
		changed := n.view.Changed()
		for name, t := range n.view.Tables() {
			if t.NewerThan(sent[name]) {
				return nil
			}
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		case <-changed:
		}
		timer.Stop()
	}
	return nil
}

// addFollowers changes the number of processes that follow this one.
func (n *Node) addFollowers(change int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.followers += change
}

// Follow implements report.Handler. It sends differences to the tables that the follower has, if these are
// known, because a table of a thousand servers has 100 KB and some hundred processes get each change. It
// also sends changes of configuration and servers, so that one process watches the store for all.
func (n *Node) Follow(ctx context.Context, request report.FollowRequest, send func(report.Update) error) error {
	sent := n.recent.find(request.Tables)
	n.addFollowers(1)
	defer n.addFollowers(-1)
	copyVersions := make(map[string]report.CopyVersion)
	position := n.replica.ChangePosition()
	var objects []report.Object
	var crashVersion uint64
	for _, m := range request.CopyVersions {
		for _, o := range n.replica.ObjectsAfter(m) {
			c, err := n.encoded.compress(o)
			if err != nil {
				return err
			}
			objects = append(objects, c)
		}
	}
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		n.mu.Lock()
		term, holding := n.election.HeldTerm()
		written := n.election.LatestWrite()
		lockConfirmed := time.Since(n.election.Confirmed()) < confirmationTimeout
		roleEnded := n.roleEnded
		n.mu.Unlock()
		if !holding {
			return errNotCoordinator
		}
		changed := n.view.Changed()
		now := time.Now()
		u := report.Update{Term: term, Sent: now, LockHeartbeat: written.Heartbeat, LockAge: -1, LockConfirmed: lockConfirmed, UpToDate: lockConfirmed && n.isCurrent(now), LastOutage: -1}
		u.Crashes, crashVersion = n.crashes.Changes(crashVersion, maxCrashEntries)
		if !written.SentAt.IsZero() {
			u.LockAge = now.Sub(written.SentAt)
		}
		if lastOutage := n.replica.LastOutage(); !lastOutage.IsZero() {
			u.LastOutage = now.Sub(lastOutage)
		}
		changes, next := n.replica.Since(position)
		encoded, err := n.encoded.bundle(span{position, next}, changes)
		if err != nil {
			return err
		}
		position = next
		for _, o := range append(objects, encoded...) {
			if len(o.Data) <= maxPushSize {
				u.Objects = append(u.Objects, o)
			}
		}
		objects = nil
		for name, t := range n.view.Tables() {
			if !t.NewerThan(sent[name]) {
				continue
			}
			o, err := n.encoded.encodeTable(sent[name], t)
			if err != nil {
				return err
			}
			n.recent.add(t)
			sent[name] = t
			u.Objects = append(u.Objects, o)
		}
		for kind := range n.watchers {
			if m := n.replica.CopyVersion(kind); m != copyVersions[kind] {
				copyVersions[kind] = m
				u.CopyVersions = append(u.CopyVersions, m)
			}
		}
		if err := send(u); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-roleEnded:
		case <-ticker.C:
		}
		if err := n.awaitNextUpdate(ctx, now, sent); err != nil {
			return err
		}
	}
}
