// Package controller decides who owns which shards of a pair (service, data
// centre) and which entry VM is the leaseholder of each upstream.
//
// A Controller is a state machine without I/O, goroutines or clock. Each entry VM
// has one for each pair of its own data centre and for each pair of which it is a
// succession member. The same type acts as member (promises its support),
// candidate (asks for support) and controller (grants leases and moves shards).
// Every method takes the monotonic time; work to be carried out collects as
// effects, which the caller takes after each call.
//
// Safety rests on four rules. A controller grants nothing beyond its authority,
// which a majority of the members must have supported within the lease time.
// A member that has given support supports no one else until every lease that
// may follow from it has expired. A shard goes to another leaseholder only
// after the former has released it or its lease has expired. A changed table
// is granted only after a majority of the members holds it.
//
// # Usage
//
//	c := controller.New(pair, self, controller.EvenPlanner{})
//	c.Configure(now, service, leaving)
//	c.Adopt(now, succession)
//	response := c.HandleRenew(now, request)
//	for _, e := range c.Take() {
//		perform(e)
//	}
//	timer.Reset(time.Until(c.Next(now)))
package controller

import (
	"time"

	"bramleystand.org/common/configuration"
	"bramleystand.org/entry/internal/control"
)

const (
	// succeedDelay is the time by which each lower place in the succession waits longer, to avoid rival candidates.
	succeedDelay = 150 * time.Millisecond
	// campaignInterval is the time between two requests of a candidate.
	campaignInterval = 100 * time.Millisecond
	// storeTimeout is how long a change waits for the platform before a supporting member suffices.
	storeTimeout = 300 * time.Millisecond
	// retryInterval is the time between attempts of a platform call.
	retryInterval = 500 * time.Millisecond
	// promiseTime is how long a member supports no other controller.
	promiseTime = control.LeaseTTL + control.ClockMargin
	// planPeriod is the longest time after which a lease that has expired is noticed.
	planPeriod = 50 * time.Millisecond
	// gracePeriod is how long a new controller or leaseholder is given for the first renewal.
	gracePeriod = 2 * control.RenewInterval
)

// Controller is the part of one entry VM in controlling one pair.
type Controller struct {
	pair    control.Pair
	self    control.Member
	planner Planner

	service *configuration.Service
	leaving map[string]bool
	// wanted holds the names of the upstreams of the data centre that are not leaving, in order.
	wanted  []string
	live    []control.Member
	removed map[string]bool

	record record
	vote   vote
	role   role
	// term is the term of the candidacy or control; highest is the greatest term heard of.
	term    uint32
	highest uint32
	members map[id]*member
	// inherited is when the leases of earlier controllers have expired.
	inherited time.Time
	// granted is when the last lease granted here expires.
	granted  time.Time
	nextAsk  time.Time
	resigned bool
	// yield says that a candidate before this one in the succession is asking for support.
	yield     bool
	candidate time.Time

	tables    tables
	fences    uint32
	answers   uint64
	holders   map[string]*holder
	upstreams map[string]*upstream
	moves     moves
	grantFrom time.Time
	loadBase  bool
	nextPlan  time.Time
	planDue   time.Time
	effects   []Effect
}

// New returns the controller of a pair as seen by the entry VM self.
func New(pair control.Pair, self control.Member, planner Planner) *Controller {
	return &Controller{
		pair:      pair,
		self:      self,
		planner:   planner,
		members:   map[id]*member{},
		holders:   map[string]*holder{},
		upstreams: map[string]*upstream{},
		moves:     newMoves(),
	}
}

// Take returns the effects that have collected since the last call.
func (c *Controller) Take() []Effect {
	e := c.effects
	c.effects = nil
	return e
}

// Configure sets the service and the names of VMs that are about to be removed.
func (c *Controller) Configure(now time.Time, service *configuration.Service, leaving map[string]bool) {
	c.service = service
	c.leaving = leaving
	c.wanted = wanted(service, c.pair.DataCentre, leaving)
	c.planDue = now
	c.Tick(now)
}

// Observe sets the live entry VMs, those of the own data centre first, and the names of VMs that the platform has removed.
func (c *Controller) Observe(now time.Time, live []control.Member, removed map[string]bool) {
	c.live = live
	c.removed = removed
	c.examineMembers(now)
	c.Tick(now)
}

// Table returns the newest table that may be published, or nil.
func (c *Controller) Table() *control.Table {
	if c.role == controlling {
		return c.tables.committed
	}
	return c.tables.newest
}

// Acting reports whether this process may grant leases and move shards now.
func (c *Controller) Acting(now time.Time) bool {
	return c.role == controlling && !now.Before(c.grantFrom) && now.Before(c.authority(now))
}

// Controlling reports whether this process is the controller of the pair.
func (c *Controller) Controlling() bool {
	return c.role == controlling
}

// Succession returns the newest known succession record.
func (c *Controller) Succession() control.Succession {
	return c.record.known
}

// Tick performs whatever is due.
func (c *Controller) Tick(now time.Time) {
	c.loadRecord(now)
	c.examineRecord(now)
	c.campaign(now)
	if c.role == controlling {
		c.control(now)
	}
	c.retryWrite(now)
}

// Next returns when Tick is due.
func (c *Controller) Next(now time.Time) time.Time {
	next := now.Add(retryInterval)
	earlier := func(t time.Time) {
		if t.After(now) && t.Before(next) {
			next = t
		}
	}
	earlier(c.nextAsk)
	earlier(c.candidate)
	earlier(c.record.retry)
	if c.role != controlling {
		return next
	}
	earlier(c.tables.proposedAt.Add(storeTimeout))
	earlier(c.tables.retry)
	earlier(c.grantFrom)
	earlier(c.planDue)
	for _, u := range c.upstreams {
		earlier(u.expiry)
	}
	return next
}
