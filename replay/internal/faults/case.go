package faults

import (
	"context"
	"time"
)

// Case is a failure or planned event and the bounds that hold for it.
type Case struct {
	Name string
	// Outage says that the case is also tried with the platform down.
	Outage bool
	// Planned cases must be invisible to callers: no call may fail.
	Planned bool
	// choose names the processes and keys concerned, before load starts.
	choose func(ctx context.Context, s *scene) error
	// inject causes the event and returns after its last step.
	inject func(ctx context.Context, s *scene) error
	// check measures what only this case has, after the load has ended.
	check func(s *scene, r *Result)
}

// Bounds that the system states.
const (
	// recoveryBound is the longest time until the keys of a lost process are served again.
	recoveryBound = 3 * time.Second
	// quietBound is the longest time until a leaving server receives no new work.
	quietBound = 5 * time.Second
	// switchBound is the longest time until an entry VM that wakes up follows an accepted preset.
	switchBound = 10 * time.Second
	// crashBound is the number of servers that one request may crash.
	crashBound = 2
)

// frozen is how long a process is stopped before it goes on.
const frozen = 4 * time.Second

// Cases returns all cases.
func Cases() []Case {
	return []Case{
		{Name: "backend-kill", Outage: true, choose: chooseServer, inject: killServer},
		{Name: "backend-freeze", Outage: true, choose: chooseServer, inject: freezeServer},
		{Name: "leaseholder-kill", Outage: true, choose: chooseLeaseholder, inject: killEntry},
		{Name: "leaseholder-freeze", Outage: true, choose: chooseLeaseholder, inject: freezeEntry},
		{Name: "controller-kill", Outage: true, choose: chooseController, inject: killEntry},
		{Name: "controller-freeze", Outage: true, choose: chooseController, inject: freezeEntry},
		{Name: "entry-stop", Outage: true, Planned: true, choose: chooseLeaseholder, inject: stopEntry},
		{Name: "departure", Planned: true, choose: chooseServer, inject: markLeaving, check: checkQuiet},
		{Name: "preset-switch", Planned: true, choose: chooseLeaseholder, inject: switchPreset, check: checkSwitch},
		{Name: "crash-request", choose: chooseServer, inject: resendCrash, check: checkCrashes},
	}
}
