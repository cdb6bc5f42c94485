package cluster

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/orderrelay"
)

const (
	// surveyedMembers limits the processes that a survey asks. A third of the processes may be cut off
	// together, and the next survey asks others.
	surveyedMembers = 3
	// handOverInterval is the least time between two attempts to give up the role.
	handOverInterval = 500 * time.Millisecond
	// handOverPause is the least time for which a process keeps the role after it has given it up before,
	// so that the role does not change hands again and again if no other process can keep it.
	handOverPause = 10 * time.Second
	// cutOffDelay is how much later than others a process that reaches no server takes the lock. If all
	// processes are cut off, one of them still has to take it.
	cutOffDelay = 2 * time.Second
	// reachLifetime is how long a candidate relies on its latest check whether it reaches servers.
	reachLifetime = time.Second
	// reachInterval is the time between two such checks of a process that reaches no server.
	reachInterval = 500 * time.Millisecond
	// reachServers is the number of servers of such a check.
	reachServers = 4
)

// Prober finds out which servers this process reaches.
type Prober interface {
	Reached(ctx context.Context, servers []netip.AddrPort) []bool
}

// Relays asks other processes which servers they reach, and sends orders through them.
type Relays interface {
	Query(ctx context.Context, to netip.AddrPort, q orderrelay.Query) (orderrelay.Answer, error)
	Send(ctx context.Context, to netip.AddrPort, o orderrelay.Order) (orderrelay.Report, error)
}

// candidacy is whether a process that may take the lock reaches servers.
type candidacy struct {
	// cutOff is true if the latest check has reached none.
	cutOff  bool
	checked time.Time
	pending bool
}

// addressesOf returns the addresses of servers.
func addressesOf(servers []registry.Server) []netip.AddrPort {
	out := make([]netip.AddrPort, len(servers))
	for i, s := range servers {
		out[i] = s.Address
	}
	return out
}

// survey finds out whether servers that leave calls unanswered can be reached by this process and others.
func (s *executor) survey(ctx context.Context, group *sync.WaitGroup, now time.Time) {
	servers := s.contact.startSurvey(now, s.node.view.Servers().Registered())
	if len(servers) == 0 {
		return
	}
	members := s.node.otherMembers()
	members = members[:min(len(members), surveyedMembers)]
	group.Go(func() {
		result := survey{began: now, servers: servers, byOthers: make([]bool, len(servers)), relays: make([]election.Member, len(servers)), unanswered: len(members) > 0}
		addresses := addressesOf(servers)
		var calls sync.WaitGroup
		calls.Go(func() { result.own = s.node.prober.Reached(ctx, addresses) })
		for _, m := range members {
			calls.Go(func() {
				answer, err := s.node.relays.Query(ctx, m.Address, orderrelay.Query{Servers: addresses})
				if err != nil {
					s.node.logger.WithError(err).WithField("member", m.Name).Info("member not asked which servers it reaches")
					return
				}
				s.recordReached(time.Now(), &result, m, answer)
			})
		}
		calls.Wait()
		s.node.mu.Lock()
		defer s.node.mu.Unlock()
		if s.node.reachability.CutOff(time.Now()) {
			// Servers may accept connections and answer nothing.
			clear(result.own)
		}
		s.contact.finishSurvey(time.Now(), result)
		s.wakeNode()
	})
}

// recordReached records which servers another process reaches. Its answer is used before the survey ends,
// because a silent server takes this process longer than the time until the next order.
func (s *executor) recordReached(now time.Time, result *survey, m election.Member, answer orderrelay.Answer) {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	s.contact.recordClock(now, m.Name, answer.Clock)
	result.unanswered = false
	for i, server := range result.servers {
		if !answer.Reached[i] {
			continue
		}
		result.byOthers[i], result.relays[i] = true, m
		if s.contact.setRelay(server.Instance, m) {
			s.markReachable(now, server.Instance)
		}
	}
}

// markReachable records that a silent server can be reached, so that it gets grants again.
func (s *executor) markReachable(now time.Time, inst registry.Instance) {
	for _, state := range s.services {
		if state.coordinator != nil {
			state.coordinator.MarkReachable(now, inst)
		}
	}
}

// otherMembers returns the other processes in random order, those that say that they reach no server last.
// The node's lock must be held.
func (n *Node) otherMembers() []election.Member {
	members := n.members
	if n.executor != nil && time.Since(n.executor.began) < memberLifetime {
		members = mergeMembers(members, n.executor.membersBefore)
	}
	var connected, cutOff []election.Member
	for _, m := range members {
		switch {
		case m.Name == n.self.Name:
		case n.cutOffMembers[m.Name]:
			cutOff = append(cutOff, m)
		default:
			connected = append(connected, m)
		}
	}
	shuffle(connected)
	shuffle(cutOff)
	return append(connected, cutOff...)
}

// mergeMembers returns the members and those of the others that are not among them. A coordinator that has
// just taken the role has got few reports yet.
func mergeMembers(members, others []election.Member) []election.Member {
	out := slices.Clone(members)
	for _, m := range others {
		if !slices.ContainsFunc(out, func(known election.Member) bool { return known.Name == m.Name }) {
			out = append(out, m)
		}
	}
	return out
}

// handOver gives up the coordinator's role if this process is cut off from the servers or on a small VM, and
// remains a candidate. If the store can't be reached, it keeps the role. The node's lock must be held.
func (n *Node) handOver(ctx context.Context, group *sync.WaitGroup, now time.Time) {
	if n.lockCallPending || n.resigning || now.Before(n.nextHandOver) {
		return
	}
	cutOff := n.executor.contact.isCutOff(now)
	if !cutOff && !n.isOutgrown(now) {
		return
	}
	l, revision, ok := n.election.Resign()
	if !ok {
		return
	}
	n.lockCallPending, n.handingOver, n.nextHandOver = true, true, now.Add(handOverInterval)
	fields, message := log.Fields{"term": l.Term, "cores": n.cores, "largest": n.largestCores}, "coordinator's role given up: another VM has more processor time"
	if cutOff {
		fields = log.Fields{"term": l.Term, "servers": len(n.executor.contact.suspects), "ms": now.Sub(n.executor.contact.cutOffSince).Milliseconds()}
		message = "coordinator's role given up: no server answers this process, and other processes reach them"
	}
	group.Go(func() {
		o, err := n.putLock(ctx, l, revision)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.lockCallPending, n.handingOver = false, false
		if err != nil {
			n.election.FinishResign(false)
			n.handleResignError(err)
			return
		}
		n.logger.WithFields(fields).Warn(message)
		n.nextHandOver = time.Now().Add(handOverPause)
		n.handOvers++
		if cutOff {
			n.reach = candidacy{cutOff: true, checked: time.Now()}
		}
		n.updateTakeoverDelay()
		n.election.RemainCandidate(now, l, o.Revision)
		n.endRole()
	})
}

// isOutgrown reports whether the coordinator is on a small VM while a large one is alive that has had time to
// report. The node's lock must be held.
func (n *Node) isOutgrown(now time.Time) bool {
	return n.onSmallVM() && now.Sub(n.executor.began) > smallVMTerm
}

// endRole forgets the state of the coordinator, and tells the processes that follow it that the role is
// free. The node's lock must be held.
func (n *Node) endRole() {
	n.executor = nil
	close(n.roleEnded)
	n.roleEnded = make(chan struct{})
}

// mayTakeLock reports whether a process may write the lock. One that is not the holder first checks
// whether it reaches servers: if it reaches none, it takes the lock later than others. The node's lock must
// be held.
func (n *Node) mayTakeLock(ctx context.Context, group *sync.WaitGroup, now time.Time) bool {
	if _, holding := n.election.HeldTerm(); holding || len(n.otherMembers()) == 0 {
		return true
	}
	if !n.reach.cutOff && n.reachability.CutOff(now) {
		n.reach = candidacy{cutOff: true, checked: now, pending: n.reach.pending}
		n.updateTakeoverDelay()
		return false
	}
	if !n.reach.pending && (n.reach.cutOff || now.Sub(n.reach.checked) < reachLifetime) {
		return true
	}
	n.checkReach(ctx, group, now)
	return false
}

// checkReach checks whether this process reaches servers. The node's lock must be held.
func (n *Node) checkReach(ctx context.Context, group *sync.WaitGroup, now time.Time) {
	if n.reach.pending {
		return
	}
	servers := slices.Clone(n.view.Servers().Registered())
	shuffle(servers)
	addresses := addressesOf(servers[:min(len(servers), reachServers)])
	n.reach.pending, n.reach.checked = true, now
	group.Go(func() {
		cutOff := len(addresses) > 0 && !n.reachesAny(ctx, addresses)
		n.mu.Lock()
		defer n.mu.Unlock()
		if cutOff != n.reach.cutOff {
			n.logger.WithField("reached", !cutOff).Info("whether this process reaches servers has changed")
		}
		n.reach = candidacy{cutOff: cutOff, checked: time.Now()}
		n.updateTakeoverDelay()
	})
}

// reachesAny reports whether this process reaches one of the servers, as soon as it does. A probe of a server
// behind a partition takes longer than the time by which a large VM takes the lock earlier than a small one.
func (n *Node) reachesAny(ctx context.Context, addresses []netip.AddrPort) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reached := make(chan bool, len(addresses))
	for _, a := range addresses {
		go func() { reached <- slices.Contains(n.prober.Reached(ctx, []netip.AddrPort{a}), true) }()
	}
	for range addresses {
		if <-reached {
			return true
		}
	}
	return false
}

// updateTakeoverDelay sets how much later than others this process takes the lock. The node's lock must be
// held.
func (n *Node) updateTakeoverDelay() {
	d := takeoverDelay(n.cores, n.largestCores)
	if n.reach.cutOff {
		d += cutOffDelay
	}
	n.election.SetTakeoverDelay(d)
	n.election.SetReadDelay(0)
	if n.onSmallVM() {
		n.election.SetReadDelay(n.fallBackDelay())
	}
}
