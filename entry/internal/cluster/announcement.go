package cluster

import (
	"context"
	"slices"
	"sync"

	"github.com/apex/log"

	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/report"
)

// announcingCalls is the number of processes that are told of a new coordinator at a time.
const announcingCalls = 8

// announceRole tells the other processes that this one is the coordinator. A process that the store
// rejects can't read the lock, and would report to the former coordinator and use its tables. One that
// can't be told now reads the lock, as before.
func (n *Node) announceRole(ctx context.Context) {
	n.mu.Lock()
	term, holding := n.election.HeldTerm()
	members := slices.Clone(n.members)
	n.mu.Unlock()
	if !holding {
		return
	}
	var group sync.WaitGroup
	next := make(chan election.Member)
	for range announcingCalls {
		group.Go(func() {
			for m := range next {
				if _, err := n.peers.StepDown(ctx, m.Address, report.StepDown{Term: term, Successor: n.self}); err != nil && ctx.Err() == nil {
					n.logger.WithError(err).WithFields(log.Fields{"process": m.Name, "term": term}).Debug("process not told of the coordinator")
				}
			}
		})
	}
	for _, m := range members {
		if m.Name != n.self.Name {
			next <- m
		}
	}
	close(next)
	group.Wait()
}

// noteSuccessor records a process that announces itself as the coordinator. The node's lock is held.
func (n *Node) noteSuccessor(r report.StepDown) {
	if r.Successor.Name != "" && r.Term > max(n.announced.Term, n.election.KnownTerm()) {
		n.announced = r
		n.logger.WithFields(log.Fields{"coordinator": r.Successor.Name, "term": r.Term}).Info("new coordinator")
	}
}

// holder returns the coordinator: the one that has announced itself, or that of the last known lock if
// this is of the same or a later term. The node's lock is held.
func (n *Node) holder() (election.Member, bool) {
	if n.announced.Term > n.election.KnownTerm() {
		return n.announced.Successor, true
	}
	return n.election.Holder()
}
