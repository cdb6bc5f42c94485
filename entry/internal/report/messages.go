package report

import (
	"time"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/crashes"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/suspect"
)

// Report is what an entry process tells the coordinator.
type Report struct {
	From election.Member
	// Cores is the processor time that the process gets in a second, in seconds.
	Cores   float64
	Demands []Demand
	Samples []Sample
	Crashes []crashes.Crash
}

// Demand is the requests for the keys of a service since the last report.
type Demand struct {
	Service string
	Keys    []keyspace.Key
	// Work is the mean time of a request in seconds.
	Work float64
}

// Sample is how a server has answered since the last report.
type Sample struct {
	Service  string
	Life     registry.Life
	Requests int
	// Ratios is the sum of the times of the requests, each in relation to the mean of its kind.
	Ratios float64
}

// Answer is the coordinator's answer to a report.
type Answer struct {
	// Coordinator is false if the process does not hold the lock.
	Coordinator bool
	Term        uint64
	// Confirmed is false if the coordinator has not been able to renew the lock of late.
	Confirmed bool
	Members   []election.Member
	// Cores is the largest processor time of a member.
	Cores float64
}

// Object is an object of the store as a process knows it.
type Object struct {
	Kind     string
	Name     string
	Revision uint64
	Data     []byte
	// Deleted is true if the object is no longer in the store; Revision is then its last one.
	Deleted bool
	// Packed is true if the data is compressed.
	Packed bool
	// Base is the revision that the data is a difference to; zero if it is the whole object.
	Base uint64
}

// Mark tells how far a copy of the objects of one kind goes.
type Mark struct {
	Kind string
	// Revision is the highest revision of an object, and Count the number of objects.
	Revision uint64
	Count    int
}

// Behind reports whether a copy lacks a change that another one has.
func (m Mark) Behind(other Mark) bool {
	return m.Revision < other.Revision || m.Revision == other.Revision && m.Count > other.Count
}

// Update is what the coordinator sends to the processes that follow it. An empty one is a
// sign of life.
type Update struct {
	Term uint64
	// Sent is when the coordinator sent the update by its own clock.
	Sent time.Time
	// Sure is false if the coordinator has not reached the store of late.
	Sure bool
	// Current is false if the coordinator's copies of configuration and servers may lack changes.
	Current bool
	// Loss is the time since the coordinator last failed to reach the store; negative if it never did.
	Loss    time.Duration
	Objects []Object
	Marks   []Mark
	// Condemned are the requests that are refused because they crash servers.
	Condemned []suspect.Fingerprint
}

// Yield asks a former coordinator to stop.
type Yield struct {
	// Term is the term of the new coordinator.
	Term uint64
}

// Yielded tells that a process sends no orders of earlier terms any more.
type Yielded struct {
	// Incarnation is that of the process that answers.
	Incarnation int64
	// Stopped is false if the process is the coordinator of a higher term.
	Stopped bool
}
