package oracle

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bramleystand.org/replay/internal/execution"
)

// doubleOwners reports keys that two servers served under one fence or at the same time.
// It considers only executions that took effect; an aborted one had no effect.
func (o *Oracle) doubleOwners() (violations []Violation) {
	services := map[string]string{}
	for _, a := range o.attempts {
		services[a.Key] = a.Service
	}
	byKey := map[string][]execution.Execution{}
	for _, e := range o.executions {
		if e.Ran {
			byKey[e.Key] = append(byKey[e.Key], e)
		}
	}
	for k, executions := range byKey {
		key := serviceKey{services[k], k}
		violations = append(violations, sharedFences(key, executions)...)
		violations = append(violations, overlaps(key, executions)...)
	}
	return violations
}

// serviceKey is a key and the service that its callers addressed.
type serviceKey struct{ service, key string }

// sharedFences reports fences under which two servers ran requests for the key. Fence 0
// means that the execution had none.
func sharedFences(k serviceKey, executions []execution.Execution) (violations []Violation) {
	first := map[uint64]execution.Execution{}
	reported := map[uint64]bool{}
	for _, e := range executions {
		f, ok := first[e.Fence]
		if !ok {
			first[e.Fence] = e
			continue
		}
		if f.Server != e.Server && e.Fence != 0 && !reported[e.Fence] {
			reported[e.Fence] = true
			violations = append(violations, doubleOwnerViolation(k, f, e, fmt.Sprintf("both under fence %d", e.Fence)))
		}
	}
	return violations
}

// overlaps reports each execution that starts before an execution on another server has ended.
func overlaps(k serviceKey, executions []execution.Execution) (violations []Violation) {
	slices.SortFunc(executions, func(a, b execution.Execution) int { return cmp.Compare(a.Started, b.Started) })
	// lastToEnd holds, for each server, the execution that ends last among those that have started.
	lastToEnd := map[string]execution.Execution{}
	for _, e := range executions {
		for server, l := range lastToEnd {
			if server != e.Server && e.Started < l.Ended {
				violations = append(violations, doubleOwnerViolation(k, l, e,
					fmt.Sprintf("at the same time for %s", min(l.Ended, e.Ended)-e.Started)))
			}
		}
		if l, ok := lastToEnd[e.Server]; !ok || e.Ended > l.Ended {
			lastToEnd[e.Server] = e
		}
	}
	return violations
}

// doubleOwnerViolation returns a violation by two executions on different servers.
func doubleOwnerViolation(k serviceKey, a, b execution.Execution, conflict string) Violation {
	return Violation{
		Rule: DoubleOwner, Service: k.service, Key: k.key, Operations: []string{a.Operation, b.Operation},
		Detail: fmt.Sprintf("%s [%s to %s] and %s [%s to %s], %s", describeExecution(a), roundToMicroseconds(a.Started), roundToMicroseconds(a.Ended),
			describeExecution(b), roundToMicroseconds(b.Started), roundToMicroseconds(b.Ended), conflict),
	}
}

func roundToMicroseconds(d time.Duration) time.Duration {
	return d.Round(time.Microsecond)
}
