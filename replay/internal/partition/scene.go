package partition

import (
	"net/netip"
	"slices"
	"time"

	"bramleystand.org/replay/internal/deployment"
	"bramleystand.org/replay/internal/fleet"
	"bramleystand.org/replay/internal/trial"
)

// scene is a case in progress.
type scene struct {
	trial   *trial.Trial
	service deployment.Service
	// owners holds the server of one key of each shard.
	owners map[string]string
	// inside are the entry VMs that are cut off from those outside.
	inside  []*fleet.Entry
	outside []*fleet.Entry
	groups  []*group
	// cuts holds the pairs of VMs that have to be healed.
	cuts     [][2]netip.Addr
	versions *versions
	// silenced is the number of connections that went silent.
	silenced                int
	cutAt, switchAt, healAt time.Time
}

// split makes the entry VMs that satisfy the condition those inside.
func (s *scene) split(inside func(e *fleet.Entry) bool) {
	for _, e := range s.trial.Fleet.Entries {
		if inside(e) {
			s.inside = append(s.inside, e)
		} else {
			s.outside = append(s.outside, e)
		}
	}
}

// cut cuts each VM of one list off from each of the other.
func (s *scene) cut(a, b []*fleet.Entry) {
	for _, x := range a {
		for _, y := range b {
			s.cutPair(x.Peer.Addr(), y.Peer.Addr())
		}
	}
}

func (s *scene) cutPlatform(entries []*fleet.Entry) {
	for _, e := range entries {
		s.cutPair(e.Peer.Addr(), s.trial.Fleet.Address.Addr())
	}
}

func (s *scene) cutPair(a, b netip.Addr) {
	s.cuts = append(s.cuts, [2]netip.Addr{a, b})
	s.trial.Fleet.Relay.Cut(a, b)
}

// silence silences the open connections between the VMs inside.
func (s *scene) silence() {
	for i, x := range s.inside {
		for _, y := range s.inside[i+1:] {
			s.silenced += s.trial.Fleet.Relay.Silence(x.Peer.Addr(), y.Peer.Addr())
		}
	}
}

// keys returns up to n keys, at even distances, of the servers that satisfy the condition.
func (s *scene) keys(n int, wanted func(b *fleet.Server) bool) []string {
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
