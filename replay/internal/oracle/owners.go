package oracle

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bramleystand.org/replay/internal/execution"
)

// doubleOwners looks at executions that took effect; one that the server gave up had no effect.
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
	for k, list := range byKey {
		owned := ownedKey{services[k], k}
		violations = append(violations, sharedFences(owned, list)...)
		violations = append(violations, overlaps(owned, list)...)
	}
	return violations
}

// ownedKey is a key and the service of its callers.
type ownedKey struct{ service, key string }

func sharedFences(k ownedKey, list []execution.Execution) (violations []Violation) {
	first := map[uint64]execution.Execution{}
	reported := map[uint64]bool{}
	for _, e := range list {
		f, ok := first[e.Fence]
		if !ok {
			first[e.Fence] = e
			continue
		}
		if f.Server != e.Server && e.Fence != 0 && !reported[e.Fence] {
			reported[e.Fence] = true
			violations = append(violations, doubleOwner(k, f, e, fmt.Sprintf("both under fence %d", e.Fence)))
		}
	}
	return violations
}

// overlaps reports each execution that starts before one of another server has ended.
func overlaps(k ownedKey, list []execution.Execution) (violations []Violation) {
	slices.SortFunc(list, func(a, b execution.Execution) int { return cmp.Compare(a.Started, b.Started) })
	// latest holds the execution that ends last on each server.
	latest := map[string]execution.Execution{}
	for _, e := range list {
		for server, l := range latest {
			if server != e.Server && e.Started < l.Ended {
				violations = append(violations, doubleOwner(k, l, e,
					fmt.Sprintf("at the same time for %s", min(l.Ended, e.Ended)-e.Started)))
			}
		}
		if l, ok := latest[e.Server]; !ok || e.Ended > l.Ended {
			latest[e.Server] = e
		}
	}
	return violations
}

func doubleOwner(k ownedKey, a, b execution.Execution, how string) Violation {
	return Violation{
		Rule: DoubleOwner, Service: k.service, Key: k.key, Operations: []string{a.Operation, b.Operation},
		Detail: fmt.Sprintf("%s [%s to %s] and %s [%s to %s], %s", describe(a), round(a.Started), round(a.Ended),
			describe(b), round(b.Started), round(b.Ended), how),
	}
}

func round(d time.Duration) time.Duration {
	return d.Round(time.Microsecond)
}
