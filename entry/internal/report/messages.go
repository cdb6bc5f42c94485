package report

import (
	"time"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/crashes"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/requestlimit"
)

// Report is the load of an entry process and what else it has observed.
type Report struct {
	From election.Member
	// Cores is the CPU time available to the process, in seconds per second.
	Cores   float64
	Loads   []Load
	Samples []Sample
	// Crashes are those that the process has observed and not reported to this coordinator yet.
	Crashes []crashes.Entry
	// Limits are the request limits of servers as responses to the process have stated them lately.
	Limits map[registry.Instance]requestlimit.Limit
	// CutOff is true if the process reaches no backend server.
	CutOff bool
	// Holds are the servers that take no requests from the process, with the times until which they don't.
	Holds map[registry.Instance]time.Time
	// Leaving are the servers that have stated in responses to the process lately that they leave.
	Leaving []registry.Instance
	// RosterVersion is the version of the roster that the process has; zero if it has none.
	RosterVersion uint64
}

// Load lists the requests for keys of a service since the last report.
type Load struct {
	Service string
	// Keys has one element per request, up to a limit.
	Keys []keyspace.Key
	// MeanServiceTime is the mean service time of a request in seconds.
	MeanServiceTime float64
}

// Sample sums up the service times of a backend server since the last report.
type Sample struct {
	Service  string
	Instance registry.Instance
	Requests int
	// RelativeTimeSum is the sum over the requests of the service time divided by the mean for
	// requests of the same kind.
	RelativeTimeSum float64
}

// Response is the coordinator's response to a report.
type Response struct {
	// Coordinator is false if the responding process does not hold the coordinator lock; the other fields
	// are then zero.
	Coordinator bool
	Term        uint64
	// Confirmed is false if the coordinator has not been able to renew the lock recently.
	Confirmed bool
	// Roster is nil if the process has the current one.
	Roster *Roster
}

// Roster lists the processes that report to the coordinator.
type Roster struct {
	// Version identifies the contents. It is not zero.
	Version uint64
	Members []election.Member
	// Cores is the highest value of Report.Cores among the members.
	Cores float64
	// CutOff has the names of the members that reach no backend server.
	CutOff []string
}

// Object is a process's copy of an object of the store, or a change of one.
type Object struct {
	Kind     string
	Name     string
	Revision uint64
	Data     []byte
	// Deleted is true if the object has been deleted from the store; Revision is then its last revision.
	Deleted bool
	// Compressed is true if Data is compressed.
	Compressed bool
	// BaseRevision is the revision to which Data is a difference; zero if Data is the whole object.
	BaseRevision uint64
}

// CopyVersion states how up to date a copy of the objects of one kind is.
type CopyVersion struct {
	Kind string
	// Revision is the highest revision of an object. Count is the number of objects; it shows deletions,
	// which have no revision.
	Revision uint64
	Count    int
}

// Behind reports whether a copy of version m lacks a change that the copy of the other version has.
func (m CopyVersion) Behind(other CopyVersion) bool {
	return m.Revision < other.Revision || m.Revision == other.Revision && m.Count > other.Count
}

// FollowRequest subscribes to the coordinator's updates.
type FollowRequest struct {
	// CopyVersions states how up to date the copies of the process are.
	CopyVersions []CopyVersion
	// Tables are the tables that the process has received from a coordinator.
	Tables []TableVersion
}

// TableVersion identifies a copy of an ownership table.
type TableVersion struct {
	Service    string
	Term       uint64
	Generation uint64
	Revision   uint64
}

// Update is a message of the coordinator to the processes that follow it. An empty one serves as a
// heartbeat.
type Update struct {
	Term uint64
	// Sent is the time at which the coordinator sent the update, by its own clock.
	Sent time.Time
	// LockHeartbeat and LockAge are the heartbeat of the coordinator's latest successful write of the lock, and
	// the time since it was sent; the age is negative if that is not known.
	LockHeartbeat uint64
	LockAge       time.Duration
	// LockConfirmed is false if the coordinator has not been able to renew the lock in the store recently.
	LockConfirmed bool
	// UpToDate is false if the coordinator's copies of the configuration and the servers may lack changes.
	UpToDate bool
	// LastOutage is the time since the coordinator last failed to reach the store; negative if it
	// never did.
	LastOutage   time.Duration
	Objects      []Object
	CopyVersions []CopyVersion
	// Crashes are the crashes of requests that have changed since the previous update.
	Crashes []crashes.Entry
}

// StepDown asks a former coordinator to send no more orders to backend servers. It also tells the other
// processes, some of which can't read the lock, who the new coordinator is.
type StepDown struct {
	// Term is the term of the new coordinator.
	Term uint64
	// Successor is the new coordinator.
	Successor election.Member
}

// StepDownResponse is the response to StepDown. If Stopped is true, the process sends no more orders of
// terms before that of the new coordinator.
type StepDownResponse struct {
	// Incarnation is the incarnation of the responding process.
	Incarnation int64
	// Stopped is false if the process is the coordinator of a higher term.
	Stopped bool
}
