package cluster

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/report"
)

// expiryInterval is the time between two checks for members that no longer report.
const expiryInterval = 100 * time.Millisecond

// reporter is a process that has sent a report.
type reporter struct {
	member     election.Member
	cores      float64
	lastReport time.Time
	// cutOff is true if the process reaches no server.
	cutOff bool
	// holds are the servers that take no requests from the process, with the times until which they don't.
	holds map[registry.Instance]time.Time
}

// membership holds the processes that report to a coordinator. The roster is made again only when it
// changes, because some hundred processes report more than twice a second.
type membership struct {
	reporters  map[string]reporter
	roster     *report.Roster
	changed    bool
	nextExpiry time.Time
	// expectedCores is the processor time of the largest VM of the members that another coordinator knew;
	// it counts until expectedUntil.
	expectedCores float64
	expectedUntil time.Time
}

// expect counts members that were known to another coordinator as if they had just reported, so that a
// takeover does not change the roster. Those that don't report drop out as usual.
func (m *membership) expect(now time.Time, members []election.Member, cores float64) {
	m.expectedCores, m.expectedUntil = cores, now.Add(memberLifetime)
	for _, member := range members {
		if _, ok := m.reporters[member.Name]; !ok {
			m.reporters[member.Name] = reporter{member: member, lastReport: now}
			m.changed = true
		}
	}
}

// add records a report.
func (m *membership) add(now time.Time, r report.Report) {
	old, ok := m.reporters[r.From.Name]
	next := reporter{member: r.From, cores: r.Cores, lastReport: now, cutOff: r.CutOff, holds: r.Holds}
	m.reporters[r.From.Name] = next
	m.changed = m.changed || !ok || old.member != next.member || old.cutOff != next.cutOff || m.roster != nil && next.cores > m.roster.Cores
}

// current returns the roster.
func (m *membership) current(now time.Time) *report.Roster {
	if !now.Before(m.nextExpiry) {
		m.nextExpiry = now.Add(expiryInterval)
		m.expire(now)
		if m.expectedCores > 0 && now.After(m.expectedUntil) {
			m.expectedCores, m.changed = 0, true
		}
	}
	if m.changed || m.roster == nil {
		m.roster, m.changed = m.newRoster(), false
	}
	return m.roster
}

// expire removes the processes that no longer report.
func (m *membership) expire(now time.Time) {
	for name, p := range m.reporters {
		if now.Sub(p.lastReport) > memberLifetime {
			delete(m.reporters, name)
			m.changed = true
		}
	}
}

// newRoster returns the members in the order of their names: the processes choose their allocators again
// when the members change.
func (m *membership) newRoster() *report.Roster {
	r := &report.Roster{Cores: m.expectedCores}
	for name, p := range m.reporters {
		r.Members = append(r.Members, p.member)
		r.Cores = max(r.Cores, p.cores)
		if p.cutOff {
			r.CutOff = append(r.CutOff, name)
		}
	}
	slices.SortFunc(r.Members, func(a, b election.Member) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(r.CutOff)
	r.Version = versionOf(r)
	return r
}

// versionOf returns a hash of the contents of a roster, so that two coordinators that know the same members
// give them the same version.
func versionOf(r *report.Roster) uint64 {
	data := binary.BigEndian.AppendUint64(nil, math.Float64bits(r.Cores))
	for _, member := range r.Members {
		data = binary.BigEndian.AppendUint64(append(append(data, member.Name...), member.DataCentre...), uint64(member.Incarnation))
		data = append(append(data, member.Address.String()...), 0)
	}
	for _, name := range r.CutOff {
		data = append(append(data, name...), 0)
	}
	return max(xxhash.Sum64(data), 1)
}

// heldShares returns the part of the members from which a server takes no requests, for the servers of which
// there is any.
func (m *membership) heldShares(now time.Time) map[registry.Instance]float64 {
	var shares map[registry.Instance]float64
	for _, p := range m.reporters {
		for inst, until := range p.holds {
			if !now.Before(until) {
				continue
			}
			if shares == nil {
				shares = make(map[registry.Instance]float64)
			}
			shares[inst] += 1 / float64(len(m.reporters))
		}
	}
	return shares
}
