package faults

import (
	"context"
	"time"
)

// Case is a failure or a planned event that is tested under load.
type Case struct {
	Name string
	// RunWithOutage is true if the case also runs with the platform down.
	RunWithOutage bool
	// Planned is true for events that callers must not notice: no call may fail.
	Planned bool
	// chooseTargets selects the affected processes and keys before the load starts.
	chooseTargets func(ctx context.Context, s *caseState) error
	// inject triggers the event and returns after its last step.
	inject func(ctx context.Context, s *caseState) error
	// measure adds figures that only this case has, after the load has ended.
	measure func(s *caseState, r *Result)
}

// Limits that the system guarantees.
const (
	// recoveryBound is the longest time until all keys of a lost process are served again.
	recoveryBound = 3 * time.Second
	// newWorkBound is the longest time for which a leaving server may receive new requests.
	newWorkBound = 5 * time.Second
	// switchBound is the longest time until an entry VM applies an accepted preset after it resumes.
	switchBound = 10 * time.Second
	// crashBound is the largest number of servers that one request may crash.
	crashBound = 2
)

// freezeDuration is the time between SIGSTOP and SIGCONT of a frozen process.
const freezeDuration = 4 * time.Second

// Cases returns all cases in the order in which they run.
func Cases() []Case {
	return []Case{
		{Name: "backend-kill", RunWithOutage: true, chooseTargets: chooseServer, inject: killServer},
		{Name: "backend-freeze", RunWithOutage: true, chooseTargets: chooseServer, inject: freezeServer},
		{Name: "leaseholder-kill", RunWithOutage: true, chooseTargets: chooseLeaseholder, inject: killEntry},
		{Name: "leaseholder-freeze", RunWithOutage: true, chooseTargets: chooseLeaseholder, inject: freezeEntry},
		{Name: "controller-kill", RunWithOutage: true, chooseTargets: chooseController, inject: killEntry},
		{Name: "controller-freeze", RunWithOutage: true, chooseTargets: chooseController, inject: freezeEntry},
		{Name: "entry-stop", RunWithOutage: true, Planned: true, chooseTargets: chooseLeaseholder, inject: stopEntry},
		{Name: "departure", Planned: true, chooseTargets: chooseServer, inject: markLeaving, measure: measureNewWork},
		{Name: "preset-switch", Planned: true, chooseTargets: chooseLeaseholder, inject: switchPreset, measure: recordSwitchTime},
		{Name: "crash-request", chooseTargets: chooseServer, inject: resendCrashRequest, measure: countCrashedServers},
	}
}
