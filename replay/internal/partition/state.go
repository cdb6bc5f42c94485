package partition

import (
	"net/netip"
	"slices"
	"time"

	"bramleystand.org/replay/internal/deployment"
	"bramleystand.org/replay/internal/fleet"
	"bramleystand.org/replay/internal/trial"
)

// caseState is the state of a running case.
type caseState struct {
	trial   *trial.Trial
	service deployment.Service
	// owners maps one key of each shard to the server that owned it before the cut.
	owners map[string]string
	// inside holds the entry VMs that the partition separates from the platform, from those
	// outside or from each other, depending on the case.
	inside  []*fleet.Entry
	outside []*fleet.Entry
	groups  []*lookupGroup
	// cuts holds the pairs of addresses that have to be healed.
	cuts           [][2]netip.Addr
	versionSampler *versionSampler
	// silencedConnections is the number of open connections that were silenced.
	silencedConnections     int
	cutAt, switchAt, healAt time.Time
}

// splitEntries sorts the entry VMs into those inside, which satisfy the condition, and those outside.
func (s *caseState) splitEntries(inside func(e *fleet.Entry) bool) {
	for _, e := range s.trial.Fleet.Entries {
		if inside(e) {
			s.inside = append(s.inside, e)
		} else {
			s.outside = append(s.outside, e)
		}
	}
}

// cut cuts off each VM of one list from each VM of the other.
func (s *caseState) cut(a, b []*fleet.Entry) {
	for _, x := range a {
		for _, y := range b {
			s.cutPair(x.PeerAddress.Addr(), y.PeerAddress.Addr())
		}
	}
}

// cutPlatform cuts off entry VMs from the platform.
func (s *caseState) cutPlatform(entries []*fleet.Entry) {
	for _, e := range entries {
		s.cutPair(e.PeerAddress.Addr(), s.trial.Fleet.Address.Addr())
	}
}

// cutPair cuts off two addresses from each other until the end of the partition.
func (s *caseState) cutPair(a, b netip.Addr) {
	s.cuts = append(s.cuts, [2]netip.Addr{a, b})
	s.trial.Fleet.Relay.Cut(a, b)
}

// silence silences the open connections between the VMs inside; new connections work.
func (s *caseState) silence() {
	for i, x := range s.inside {
		for _, y := range s.inside[i+1:] {
			s.silencedConnections += s.trial.Fleet.Relay.Silence(x.PeerAddress.Addr(), y.PeerAddress.Addr())
		}
	}
}

// sampleKeys returns at most n evenly spaced keys of the servers that satisfy the condition.
func (s *caseState) sampleKeys(n int, wanted func(b *fleet.Server) bool) []string {
	var all []string
	for k, owner := range s.owners {
		if wanted(s.trial.Fleet.Server(owner)) {
			all = append(all, k)
		}
	}
	slices.Sort(all)
	if len(all) <= n {
		return all
	}
	chosen := make([]string, n)
	for i := range chosen {
		chosen[i] = all[i*len(all)/n]
	}
	return chosen
}
