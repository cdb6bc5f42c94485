// Package controller assigns shards to upstreams and upstreams to leaseholders
// for one pair, that is, one service in one data centre. An upstream is a backend
// server; its leaseholder is the entry VM that may send requests to it.
//
// The controller of a pair is elected by majority among the few entry VMs that
// the pair's succession record names as members. A Controller is the state
// machine of one entry VM for one pair. An entry VM has one for each pair of its
// own data centre and for each pair of which it is a succession member. The same
// type acts as member (promises its support), candidate (requests support) and
// controller (grants leases and moves shards).
//
// The state machine does no I/O, starts no goroutines and reads no clock. Every
// method takes the monotonic time. Work for the caller is queued as effects, which
// the caller fetches with TakeEffects after each call.
//
// Four rules keep it safe:
//
//   - A controller grants leases only while it has authority. Its authority ends
//     one lease time after the latest moment at which a majority supported it.
//   - A member that has given support supports no other candidate until every
//     lease that may rest on its support has expired.
//   - A shard goes to another leaseholder only after the previous one has
//     released it or the previous lease has expired.
//   - A changed table is granted only after a majority of the members holds it.
//
// # Usage
//
//	c := controller.New(pair, self, controller.EvenPlanner{})
//	c.Configure(now, service, leavingVMs)
//	c.AdoptSuccession(now, succession)
//	response := c.HandleRenew(now, request)
//	for _, e := range c.TakeEffects() {
//		perform(e)
//	}
//	timer.Reset(time.Until(c.NextDue(now)))
package controller

import (
	"time"

	"bramleystand.org/common/configuration"
	"bramleystand.org/entry/internal/control"
)

const (
	// candidacyStagger is how much longer each next member in the succession waits before it becomes a candidate, to
	// avoid rival candidates.
	candidacyStagger = 150 * time.Millisecond
	// campaignInterval is the time between two support requests of a candidate.
	campaignInterval = 100 * time.Millisecond
	// storeTimeout is how long a changed table waits to be stored on the platform before copies at a majority of the
	// members suffice.
	storeTimeout = 300 * time.Millisecond
	// retryInterval is the time between two attempts of a failed platform call.
	retryInterval = 500 * time.Millisecond
	// promiseDuration is how long a member that gave support supports no other candidate.
	promiseDuration = control.LeaseTTL + control.ClockMargin
	// tableUpdateInterval is the time between two checks for table changes, and so the longest delay before an expired
	// lease is noticed.
	tableUpdateInterval = 50 * time.Millisecond
	// gracePeriod is how long a new controller waits for first renewals, and how long a new leaseholder has for its own.
	gracePeriod = 2 * control.RenewInterval
)

// Controller is the state of one entry VM as member, candidate or controller of one pair.
type Controller struct {
	pair    control.Pair
	self    control.Member
	planner Planner

	service    *configuration.Service
	leavingVMs map[string]bool
	// activeUpstreams holds the sorted names of the data centre's configured upstreams that are not leaving.
	activeUpstreams []string
	liveVMs         []control.Member
	removedVMs      map[string]bool

	record  record
	promise promise
	role    role
	// term is the term of the latest candidacy of this process, highestTerm the highest term that any process has reported.
	term        uint32
	highestTerm uint32
	members     map[processID]*memberState
	// inheritedExpiry is when all leases of earlier controllers have expired.
	inheritedExpiry time.Time
	// grantedExpiry is when the last lease granted by this controller expires.
	grantedExpiry      time.Time
	nextSupportRequest time.Time
	resigned           bool
	// rivalAhead says that a member earlier in the succession is also a candidate, so that this one must withdraw.
	rivalAhead bool
	// candidate is when this member becomes a candidate; it is zero if it must not.
	candidate time.Time

	tables tables
	// fenceSequence numbers the fences of the term, responseSequence the renewal responses.
	fenceSequence    uint32
	responseSequence uint64
	leaseholders     map[string]*leaseholder
	upstreams        map[string]*upstreamState
	moves            moves
	// grantFrom is when a new controller may begin to grant leases.
	grantFrom time.Time
	// baseTablePending says that the platform must be asked for the table from which the term starts.
	baseTablePending bool
	// nextRebalance is when moves may be planned next, tableUpdateDue when table changes are looked for next.
	nextRebalance  time.Time
	tableUpdateDue time.Time
	effects        []Effect
}

// New returns the state machine of the entry VM self for a pair. A nil planner disables planned moves.
func New(pair control.Pair, self control.Member, planner Planner) *Controller {
	return &Controller{
		pair:         pair,
		self:         self,
		planner:      planner,
		members:      map[processID]*memberState{},
		leaseholders: map[string]*leaseholder{},
		upstreams:    map[string]*upstreamState{},
		moves:        newMoves(),
	}
}

// TakeEffects returns and removes the effects that were queued since the last call.
func (c *Controller) TakeEffects() []Effect {
	e := c.effects
	c.effects = nil
	return e
}

// Configure sets the configuration of the service and the names of VMs that are about to be removed.
func (c *Controller) Configure(now time.Time, service *configuration.Service, leavingVMs map[string]bool) {
	c.service = service
	c.leavingVMs = leavingVMs
	c.activeUpstreams = activeUpstreams(service, c.pair.DataCentre, leavingVMs)
	c.tableUpdateDue = now
	c.Tick(now)
}

// SetVMs sets the live entry VMs, with those of the own data centre first, and the names of VMs that the platform has
// removed.
func (c *Controller) SetVMs(now time.Time, liveVMs []control.Member, removedVMs map[string]bool) {
	c.liveVMs = liveVMs
	c.removedVMs = removedVMs
	c.checkLostMajority(now)
	c.Tick(now)
}

// Table returns the newest table that may be published, or nil.
func (c *Controller) Table() *control.Table {
	if c.role == roleController {
		return c.tables.committed
	}
	return c.tables.newest
}

// CanGrant reports whether this process may grant leases and move shards now.
func (c *Controller) CanGrant(now time.Time) bool {
	return c.role == roleController && !now.Before(c.grantFrom) && now.Before(c.authority(now))
}

// IsController reports whether this process has been elected controller of the pair. It may lack authority: see CanGrant.
func (c *Controller) IsController() bool {
	return c.role == roleController
}

// Succession returns the newest known succession record.
func (c *Controller) Succession() control.Succession {
	return c.record.known
}

// Tick performs the timed work that is due: platform calls, candidacy, support requests and table changes.
func (c *Controller) Tick(now time.Time) {
	c.loadRecord(now)
	c.updateRecord(now)
	c.campaign(now)
	if c.role == roleController {
		c.control(now)
	}
	c.retryRecordWrite(now)
}

// NextDue returns when Tick must be called next.
func (c *Controller) NextDue(now time.Time) time.Time {
	next := now.Add(retryInterval)
	consider := func(t time.Time) {
		if t.After(now) && t.Before(next) {
			next = t
		}
	}
	consider(c.nextSupportRequest)
	consider(c.candidate)
	consider(c.record.retryAt)
	if c.role != roleController {
		return next
	}
	consider(c.tables.proposedAt.Add(storeTimeout))
	consider(c.tables.retryAt)
	consider(c.grantFrom)
	consider(c.tableUpdateDue)
	for _, u := range c.upstreams {
		consider(u.expiry)
	}
	return next
}
